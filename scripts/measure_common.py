"""Readings of a process from the proc file system."""

import os

TICKS = os.sysconf("SC_CLK_TCK")


def process_times(process):
    """Processor time of a process in seconds."""
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def process_size(process):
    """Threads and resident memory in MB."""
    values = {}
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        for line in file:
            name, _, value = line.partition(":")
            values[name] = value.split()
    return int(values["Threads"][0]), int(values["VmRSS"][0]) / 1024
