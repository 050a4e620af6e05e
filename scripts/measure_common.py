"""Reads resource usage of a process from /proc."""

import os

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_time_s(process):
    """Returns the user and system CPU time of a process, in seconds."""
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def thread_count_and_memory(process):
    """Returns the number of threads and the resident memory of a process, in MB."""
    values = {}
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        for line in file:
            name, _, value = line.partition(":")
            values[name] = value.split()
    return int(values["Threads"][0]), int(values["VmRSS"][0]) / 1024
