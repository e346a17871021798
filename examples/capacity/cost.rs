//! CPU time and memory, as reported by the kernel.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// CPU clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SEC: u64 = 100;

/// Returns the CPU time of the calling thread.
pub fn thread_cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Runs `f` and adds the CPU time that it takes on this thread to `total`.
pub fn timed<T>(total: &mut Duration, f: impl FnOnce() -> T) -> T {
    let start = thread_cpu();
    let value = f();
    *total += thread_cpu() - start;
    value
}

/// Returns the CPU time of another process, with a resolution of 10 ms.
pub fn process_cpu(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split(' ').collect();
    let ticks = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or(0)
    };
    // User and system time are fields 14 and 15. The split drops fields 1 and 2 and leaves an empty
    // string at index 0, so field 14 is at index 12.
    let sum = ticks(12) + ticks(13);
    Duration::from_millis(sum * 1_000 / TICKS_PER_SEC)
}

/// Returns the resident memory in kilobytes; `pid` may be `self`.
pub fn resident_kb(pid: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Returns the share of one core in percent.
pub fn percent(cpu: Duration, wall: Duration) -> f64 {
    cpu.as_secs_f64() * 100.0 / wall.as_secs_f64()
}

/// Returns a duration in fractional milliseconds.
pub fn millis(d: Duration) -> f64 {
    d.as_secs_f64() * 1_000.0
}
