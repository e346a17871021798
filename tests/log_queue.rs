//! The log queue is bounded in rate and size, and logging never blocks.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use laburnumtide::logging::Queue;

/// Timeout for a condition on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A writer that blocks on each write until the test releases it, and sends the text to the test.
struct BlockingWriter {
    permits: Receiver<()>,
    lines: Sender<String>,
}

impl Write for BlockingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.permits.recv().map_err(|_| io::ErrorKind::BrokenPipe)?;
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.lines
            .send(text)
            .map_err(|_| io::ErrorKind::BrokenPipe)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that block while standard output isn't read, and against unbounded memory
/// for the lines logged in the meantime.
#[test]
fn stalled_reader() {
    let queue = Queue::new();
    let (release, permits) = channel();
    let (lines, written) = channel();
    let writer = queue.clone();
    std::thread::spawn(move || writer.drain_to(BlockingWriter { permits, lines }));
    let line = [b'x'; 1_000];
    let start = Instant::now();
    for _ in 0..200_000 {
        queue.push("refused", &line);
    }
    assert!(start.elapsed() < TIMEOUT, "logging blocked");
    release.send(()).unwrap();
    let first = written.recv_timeout(TIMEOUT).unwrap();
    assert!(first.len() <= 2 * 512 * 1024, "{} bytes", first.len());
}

/// Guards against lines of served requests that displace those of refusals, and against dropped lines
/// that aren't reported.
#[test]
fn served_lines_dropped_first() {
    let queue = Queue::new();
    for _ in 0..300 {
        queue.push("responded", b"event=responded");
    }
    for _ in 0..300 {
        queue.push("refused", b"event=refused");
    }
    std::thread::sleep(Duration::from_millis(1_100));
    queue.push("refused", b"event=refused");
    let (release, permits) = channel();
    let (lines, written) = channel();
    release.send(()).unwrap();
    let writer = queue.clone();
    std::thread::spawn(move || writer.drain_to(BlockingWriter { permits, lines }));
    let text = written.recv_timeout(TIMEOUT).unwrap();
    let count = |event: &str| text.lines().filter(|l| *l == event).count();
    assert_eq!(count("event=refused"), 301);
    assert_eq!(count("event=responded"), 200);
    assert!(text.contains("event=log-dropped responded=100"), "{text}");
}
