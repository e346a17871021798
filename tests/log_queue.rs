//! Log lines are bounded in rate and size, and writing them never waits.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use laburnumtide::logging::Queue;

/// Generous limit for a condition on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);

/// Passes on what is written; waits until the test lets it.
struct Reader {
    gate: Receiver<()>,
    lines: Sender<String>,
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.gate.recv().map_err(|_| io::ErrorKind::BrokenPipe)?;
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

/// Guards against a request that waits because nobody reads standard output, and against lines that
/// pile up meanwhile.
#[test]
fn stopped_reader() {
    let queue = Queue::new();
    let (open, gate) = channel();
    let (lines, written) = channel();
    let writer = queue.clone();
    std::thread::spawn(move || writer.drain_to(Reader { gate, lines }));
    let line = [b'x'; 1_000];
    let start = Instant::now();
    for _ in 0..200_000 {
        queue.push("refused", &line);
    }
    assert!(start.elapsed() < PATIENCE, "writing has waited");
    open.send(()).unwrap();
    let first = written.recv_timeout(PATIENCE).unwrap();
    assert!(first.len() <= 2 * 512 * 1024, "{} bytes", first.len());
}

/// Guards against refusals that are lost among the lines of served requests, and against a loss that
/// is not told.
#[test]
fn served_go_first() {
    let queue = Queue::new();
    for _ in 0..300 {
        queue.push("answered", b"event=answered");
    }
    for _ in 0..300 {
        queue.push("refused", b"event=refused");
    }
    std::thread::sleep(Duration::from_millis(1_100));
    queue.push("refused", b"event=refused");
    let (open, gate) = channel();
    let (lines, written) = channel();
    open.send(()).unwrap();
    let writer = queue.clone();
    std::thread::spawn(move || writer.drain_to(Reader { gate, lines }));
    let text = written.recv_timeout(PATIENCE).unwrap();
    let count = |event: &str| text.lines().filter(|l| *l == event).count();
    assert_eq!(count("event=refused"), 301);
    assert_eq!(count("event=answered"), 200);
    assert!(text.contains("event=log-dropped answered=100"), "{text}");
}
