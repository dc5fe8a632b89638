# Draws what `wheattiller report` printed:
#   gnuplot -e "input='report.txt'; output='report.png'" tools/report.gnuplot
set terminal pngcairo size 1200,800
set output output
set multiplot layout 2,1
set key outside
set style fill solid
set style data histograms
set style histogram rowstacked
set boxwidth 0.9
set xtics rotate by 90 right font ",7"
set bmargin 3
set ylabel "requests in a second"
set title "What became of requests, by the second in which they came"
plot input index "seconds" \
       using ($3-$4-$5):xtic(sprintf("%d", int($1) % 1000)) title "in time", \
    "" index "seconds" using 4 title "late first event", \
    "" index "seconds" using 5 title "long pause", \
    "" index "seconds" using 6 title "refused", \
    "" index "seconds" using 7 title "cut"
set style data lines
set ylabel "ms to the first event"
set title "First events"
plot input index "seconds" using 0:8:xtic(sprintf("%d", int($1) % 1000)) \
       title "median", \
    "" index "seconds" using 0:9 title "99th percentile"
unset multiplot
