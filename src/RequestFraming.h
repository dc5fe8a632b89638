#ifndef HEADER_RequestFraming
#define HEADER_RequestFraming
/**
 * DOC: RequestFraming
 *
 * Checks the lines and chunks of callers' requests before evhttp reads them
 * (see LineCheck.h and ChunkCheck.h). As evhttp hands out a request only once
 * its body has ended, the check follows the heads of a connection's requests
 * by itself, as far as they tell where a body ends.
 */
#include <glib.h>

/** struct RequestFraming_t - opaque; the requests of one connection */
typedef struct RequestFraming RequestFraming_t;

/**
 * struct UnnamedMethod_t - a method that evhttp has no name for
 * @word: the method
 * @distance: bytes from its beginning to the end of what was checked and is
 *     left
 */
typedef struct {
    char *word;
    gsize distance;
} UnnamedMethod_t;

/** RequestFraming_create() - begin with a connection
 * @proof: proves that another router sends it (ForwardProof.h), or NULL
 * @key_header: header that tells callers apart, or NULL; both must outlive the
 *     object */
RequestFraming_t *RequestFraming_create(const char *proof,
                                        const char *key_header);

/** RequestFraming_destroy() - free it */
void RequestFraming_destroy(RequestFraming_t *this);

/**
 * RequestFraming_feed() - check the next bytes of the connection
 *
 * Overwrites extensions of chunks (see ChunkCheck.h) and tabs before the value
 * of a field, which evhttp takes for a part of it, and leaves out empty lines
 * before a request, which it takes for an error.
 *
 * Return: number of bytes that are left of @bytes
 */
gsize RequestFraming_feed(RequestFraming_t *this, char *bytes, gsize length);

/**
 * RequestFraming_takeUnnamed() - take the next unnamed method of the request
 * lines that have ended
 * @out: its word must be freed
 *
 * Return: FALSE if there is none
 */
gboolean RequestFraming_takeUnnamed(RequestFraming_t *this,
                                    UnnamedMethod_t *out);

/**
 * RequestFraming_noteAdded() - bytes were put behind a method in place of it
 * @added: by how many the bytes that are left have grown
 */
void RequestFraming_noteAdded(RequestFraming_t *this,
                              const UnnamedMethod_t *method, gsize added);

/** RequestFraming_isBehindData() - whether the last byte ended the data of a
 * chunk */
gboolean RequestFraming_isBehindData(const RequestFraming_t *this);

/** RequestFraming_noteAppended() - bytes were put behind what was checked */
void RequestFraming_noteAppended(RequestFraming_t *this, gsize added);

/** RequestFraming_isBroken() - whether chunks or lines are broken, or a body
 * has no clear end */
gboolean RequestFraming_isBroken(const RequestFraming_t *this);

/** RequestFraming_hasBrokenLine() - whether a line of a head or of trailers is
 * malformed, a trailer names the framing, or a field names a method. evhttp
 * may wait for more. */
gboolean RequestFraming_hasBrokenLine(const RequestFraming_t *this);

/** RequestFraming_hasUnclearEnd() - whether a head has several lengths or
 * codings, or another coding than chunks, so that what follows may belong to
 * its body or not */
gboolean RequestFraming_hasUnclearEnd(const RequestFraming_t *this);

/** RequestFraming_headBytes() - bytes of the head under way, or else of the
 * last one, without its line ends */
gsize RequestFraming_headBytes(const RequestFraming_t *this);

/** RequestFraming_bytes() - bytes of the request under way, or else of the
 * last one, that are left so far, its body included */
gsize RequestFraming_bytes(const RequestFraming_t *this);

/** RequestFraming_lines() - lines of the head and the trailers so far */
guint RequestFraming_lines(const RequestFraming_t *this);

/** RequestFraming_isUnderWay() - whether a request has begun and not ended */
gboolean RequestFraming_isUnderWay(const RequestFraming_t *this);

/** RequestFraming_mayBeFromRouter() - whether another router has proved that
 * the connection is its own, or the line under way may become that proof */
gboolean RequestFraming_mayBeFromRouter(const RequestFraming_t *this);

/** RequestFraming_hasTooManyLines() - whether the head and the trailers have
 * more than HEAD_LINES_MAX lines, and those that another router may add */
gboolean RequestFraming_hasTooManyLines(const RequestFraming_t *this);

/** RequestFraming_isInHead() - whether a head has begun and not ended */
gboolean RequestFraming_isInHead(const RequestFraming_t *this);

/** RequestFraming_caller() - number made of the key that the head under way,
 * or that of the body under way, states; 0 for none. Nothing is known yet of
 * whether the key is valid. */
guint64 RequestFraming_caller(const RequestFraming_t *this);

/** RequestFraming_isChunked() - whether the body under way has chunks */
gboolean RequestFraming_isChunked(const RequestFraming_t *this);

/** RequestFraming_missingBody() - bytes of a body with a length that were not
 * received yet */
guint64 RequestFraming_missingBody(const RequestFraming_t *this);

/** RequestFraming_expectedBody() - bytes of the body under way: its length, or
 * those of its chunks so far; 0 if there is none */
guint64 RequestFraming_expectedBody(const RequestFraming_t *this);

#endif
