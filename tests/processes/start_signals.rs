//! Signals that arrive while a daemon starts.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

use crate::fleet::TIMEOUT;

const SECRET: &[u8] = b"fleet-secret-0123456789";

const NODE: &str = env!("CARGO_BIN_EXE_laburnum-node");
const NODE_ARGS: [&str; 5] = [
    "--caller-listen=127.0.0.1:0",
    "--link-listen=127.0.0.1:0",
    "--admin-listen=127.0.0.1:0",
    "--controls=127.0.0.1:9",
    "--zone=zone-a",
];

const CONTROL: &str = env!("CARGO_BIN_EXE_laburnum-control");
const CONTROL_ARGS: [&str; 3] = [
    "--link-listen=127.0.0.1:0",
    "--operator-listen=127.0.0.1:0",
    "--data=data",
];

/// A daemon that is reading its secret.
struct Starting {
    child: Child,
    secret: File,
    _dir: TempDir,
}

impl Starting {
    /// Starts a daemon with the fleet secret in a pipe, and waits until it reads from it.
    fn open(program: &str, args: &[&str]) -> Starting {
        let dir = TempDir::new().unwrap();
        let pipe = dir.path().join("fleet.secret");
        let made = Command::new("mkfifo").arg(&pipe).status().unwrap();
        assert!(made.success());
        let args = args.iter().flat_map(|arg| arg.split('='));
        let child = Command::new(program)
            .args(args)
            .args(["--fleet-secret-file", "fleet.secret"])
            .env("LABURNUM_OPERATOR_SECRET", "operator-secret-0123456789")
            .current_dir(dir.path())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let secret = open_pipe(pipe);
        Starting {
            child,
            secret,
            _dir: dir,
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Lets the daemon read its secret and go on.
    fn finish(&mut self) {
        // A daemon that has ended reads nothing.
        let _ = self.secret.write_all(SECRET);
        self.secret = File::open("/dev/null").unwrap();
    }

    /// Waits until the daemon exits and returns its exit code.
    fn exit_code(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the process did not end");
    }
}

/// Opens a pipe for writing once a process reads from it.
fn open_pipe(path: PathBuf) -> File {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || sender.send(File::options().write(true).open(path)));
    let opened = receiver.recv_timeout(TIMEOUT);
    opened.expect("the daemon reads from the pipe").unwrap()
}

impl Drop for Starting {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn check_signals(program: &str, args: &[&str]) {
    let mut stopped = Starting::open(program, args);
    stopped.signal(Signal::TERM);
    stopped.finish();
    assert_eq!(stopped.exit_code(), Some(0), "SIGTERM");
    let mut reloaded = Starting::open(program, args);
    reloaded.signal(Signal::HUP);
    reloaded.finish();
    reloaded.signal(Signal::TERM);
    assert_eq!(reloaded.exit_code(), Some(0), "SIGHUP");
}

/// Guards against a node that a signal ends while it reads its settings.
#[test]
fn node_start() {
    check_signals(NODE, &NODE_ARGS);
}

/// Guards against a control process that a signal ends while it reads its settings.
#[test]
fn control_start() {
    check_signals(CONTROL, &CONTROL_ARGS);
}
