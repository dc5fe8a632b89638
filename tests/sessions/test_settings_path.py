"""Starts of routers by the command of the deploy file, whose settings lie where
it says, where the platform's variable says, or where an option says."""
import os
import re
import shutil
import signal
import unittest

from cluster import BUILD, ROOT, Process
from test_starts import StartCase

VARIABLE = "WHEATTILLER_BOOT"
NAMED_IN_COMMAND = "/etc/wheattiller/settings.yaml"
DEPLOY = os.path.join(ROOT, "deploy", "system.toml")


def deployed_command(path=NAMED_IN_COMMAND):
    """Returns the words of the deploy file's command, with this build's
    program and the path of the settings replaced."""
    with open(DEPLOY) as file:
        words = re.search(r'^run = "(.*)"$', file.read(), re.M)[1].split()
    return [os.path.join(BUILD, "wheattiller")] + [
        path if word == NAMED_IN_COMMAND else word for word in words[1:]]


class SettingsPathTest(StartCase):
    def setUp(self):
        super().setUp()
        self.path = self.write_settings()
        self.absent = os.path.join(self.fleet.folder.name, "absent.ini")

    def start(self, command, variable=None):
        router = Process(command, {VARIABLE: variable or ""})
        router.path = self.path
        self.fleet.routers.append(router)
        return router

    def assert_named(self, router, path, by):
        line = router.wait_event("settings_named")[0]
        self.assertEqual((line["path"].strip('"'), line["by"].strip('"')),
                         (path, by))

    # A router whose settings lay where the variable said read other ones.
    def test_the_variable_names_the_settings(self):
        router = self.start(deployed_command(self.absent), self.path)
        self.assert_serves(router)
        self.assert_named(router, self.path, VARIABLE)

    # Two routers of one instance read the same settings.
    def test_routers_of_an_instance_have_settings_of_their_own(self):
        other = os.path.join(self.fleet.folder.name, "other.ini")
        shutil.copy(self.path, other)
        with open(other) as file:
            text = file.read()
        with open(other, "w") as file:
            file.write(re.sub(r"^name = .*$", "name = other", text, flags=re.M))
        for path in (self.path, other):
            router = self.start(deployed_command(), path)
            self.assert_serves(router)
            self.assert_named(router, path, VARIABLE)
        self.assertEqual(router.wait_event("router_started")[0]["router"],
                         "other")

    def test_the_variable_alone_is_enough(self):
        router = self.start([os.path.join(BUILD, "wheattiller"), "router"],
                            self.path)
        self.assert_serves(router)

    def test_an_option_goes_before_the_variable(self):
        router = self.start(
            [*deployed_command(self.absent), "--settings", self.path],
            self.absent)
        self.assert_serves(router)
        self.assert_named(router, self.path, "--settings")

    def test_without_a_variable_the_deploy_file_names_the_settings(self):
        router = self.start(deployed_command(self.path))
        self.assert_serves(router)
        self.assert_named(router, self.path, "--default-settings")

    def test_a_relative_path_is_followed_by_starts_and_reloads(self):
        relative = os.path.relpath(self.path)
        router = self.start(deployed_command(self.absent), relative)
        self.assert_serves(router)
        router.signal(signal.SIGHUP)
        self.assertEqual(
            router.wait_event("settings_reloaded")[0]["outcome"], "taken")

    # Settings are replaced by another link, as mounts of configurations are.
    def test_a_reload_follows_a_link_that_was_replaced(self):
        link = os.path.join(self.fleet.folder.name, "link.ini")
        os.symlink(self.path, link)
        router = self.start(deployed_command(self.absent), link)
        self.assert_serves(router)
        changed = os.path.join(self.fleet.folder.name, "changed.ini")
        with open(self.path) as old, open(changed, "w") as new:
            new.write(re.sub(r"^name = .*$", "name = changed", old.read(),
                             flags=re.M))
        os.symlink(changed, link + ".new")
        os.replace(link + ".new", link)
        router.signal(signal.SIGHUP)
        self.assertEqual(router.wait_event("setting_waits")[0]["key"], "name")

    def test_a_folder_is_waited_on_with_a_clear_line(self):
        router = self.start(deployed_command(self.absent),
                            self.fleet.folder.name)
        line = router.wait_event("settings_wait")[0]
        self.assertEqual(line["path"].strip('"'), self.fleet.folder.name)
        self.assertTrue([each for each in router.lines
                         if "Is a directory" in each])

    def test_no_name_at_all_is_told(self):
        router = self.start([os.path.join(BUILD, "wheattiller"), "router"])
        self.assertEqual(router.process.wait(60), 2)
        router.reader.join()
        self.assertIn(VARIABLE, "\n".join(router.lines))


if __name__ == "__main__":
    unittest.main()
