"""The persistent clock on a machine whose wall clock is stepped."""

import pytest

from birchstack.net.machine import CLOCK_FILE, Folder, Machine, PersistentClock


class SteppedMachine(Machine):
    def __init__(self, wall, steady, boot="b1"):
        self._readings = wall, steady, boot

    def wall_ms(self):
        return self._readings[0]

    def steady_ms(self):
        return self._readings[1]

    def boot_id(self):
        return self._readings[2]


@pytest.mark.parametrize("wall", [1_000.0, 990_000.0, 9_000_000.0])
def test_a_step_of_the_wall_clock_between_two_processes_has_no_effect(tmp_path, wall):
    assert PersistentClock(SteppedMachine(1_000_000.0, 5_000.0), Folder(str(tmp_path))).ms() == 1_000_000.0
    assert PersistentClock(SteppedMachine(wall, 7_000.0), Folder(str(tmp_path))).ms() == 1_002_000.0


@pytest.mark.parametrize("boot", ["b2", ""])
def test_after_a_reboot_the_wall_clock_counts(tmp_path, boot):
    PersistentClock(SteppedMachine(1_000_000.0, 5_000.0), Folder(str(tmp_path)))
    assert PersistentClock(SteppedMachine(1_060_000.0, 30.0, boot), Folder(str(tmp_path))).ms() == 1_060_000.0


def test_a_damaged_clock_file_is_replaced(tmp_path):
    (tmp_path / CLOCK_FILE).write_bytes(b"b1 12\xff")
    assert PersistentClock(SteppedMachine(1_000_000.0, 5_000.0), Folder(str(tmp_path))).ms() == 1_000_000.0
    assert PersistentClock(SteppedMachine(1.0, 6_000.0), Folder(str(tmp_path))).ms() == 1_001_000.0
