//! A small fleet of real processes on its own loopback addresses.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use tempfile::TempDir;

/// Timeout for a condition on a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(60);

static NETWORKS: AtomicU32 = AtomicU32::new(0);

/// A child process; killed when dropped.
pub struct Proc {
    child: Child,
    log: PathBuf,
}

impl Proc {
    /// Sends `signal`.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the child has not been waited for");
    }

    /// Stops the process with SIGSTOP and waits until all of its threads have stopped.
    ///
    /// On a busy machine, threads continue to run for milliseconds after the signal is sent.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
        eventually("every thread has stopped", || self.is_frozen());
    }

    /// Resumes a stopped process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    fn is_frozen(&self) -> bool {
        let tasks = format!("/proc/{}/task", self.child.id());
        let is_stopped = |task: std::fs::DirEntry| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit(')')
                .next()
                .is_some_and(|rest| rest.starts_with(" T"))
        };
        let mut tasks = std::fs::read_dir(tasks)
            .expect("the process exists")
            .flatten();
        tasks.all(is_stopped)
    }

    /// Sets the largest size of the files that the process can write, or removes that limit.
    ///
    /// With a limit of zero, every write to a file fails, as on a full disk.
    pub fn limit_files(&self, bytes: Option<u64>) {
        let limit = Rlimit {
            current: bytes,
            maximum: None,
        };
        let pid = Pid::from_child(&self.child);
        prlimit(Some(pid), Resource::Fsize, limit).expect("the child has not been waited for");
    }

    /// Kills the process without a shutdown, like a power loss.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits by itself and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("process did not end; log:\n{}", self.log());
    }

    /// Returns the log output of the process.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A fleet of control processes, nodes and stand-in targets.
pub struct Fleet {
    /// Contains data directories, logs, secrets and notes.
    pub dir: TempDir,
    /// Control processes by number; `None` while stopped.
    pub controls: Vec<Option<Proc>>,
    /// Nodes by number; `None` while stopped.
    pub nodes: Vec<Option<Proc>>,
    /// Targets by number; `None` while stopped.
    pub targets: Vec<Option<Proc>>,
    network: u32,
    node_options: Vec<(&'static str, String)>,
    control_options: Vec<(&'static str, String)>,
}

impl Fleet {
    /// Starts `controls` control processes and `nodes` nodes, spread over three zones.
    pub fn start(controls: usize, nodes: usize) -> Fleet {
        Fleet::start_with(controls, nodes, Vec::new())
    }

    /// Starts a fleet with additional flags for the nodes.
    pub fn start_with(
        controls: usize,
        nodes: usize,
        node_options: Vec<(&'static str, String)>,
    ) -> Fleet {
        Fleet::open(controls, nodes, node_options, Vec::new())
    }

    /// Starts a fleet with additional flags for the control processes.
    pub fn start_limited(
        controls: usize,
        nodes: usize,
        control_options: Vec<(&'static str, String)>,
    ) -> Fleet {
        Fleet::open(controls, nodes, Vec::new(), control_options)
    }

    fn open(
        controls: usize,
        nodes: usize,
        node_options: Vec<(&'static str, String)>,
        control_options: Vec<(&'static str, String)>,
    ) -> Fleet {
        let dir = TempDir::new().unwrap();
        std::fs::write(dir.path().join("fleet.secret"), "fleet-secret-0123456789").unwrap();
        std::fs::write(
            dir.path().join("operator.secret"),
            "operator-secret-0123456789",
        )
        .unwrap();
        // Every fleet has its own loopback network, so that fixed ports never collide with those of
        // concurrent tests. One test process can start 64 fleets.
        let count = NETWORKS.fetch_add(1, Ordering::Relaxed);
        assert!(count < 64, "a network would be reused");
        let network = (std::process::id() << 6) | count;
        let mut fleet = Fleet {
            dir,
            controls: (0..controls).map(|_| None).collect(),
            nodes: (0..nodes).map(|_| None).collect(),
            targets: Vec::new(),
            network,
            node_options,
            control_options,
        };
        for i in 0..controls {
            fleet.start_control(i);
        }
        for i in 0..nodes {
            fleet.start_node(i);
        }
        fleet
    }

    fn addr(&self, host: usize, port: u16) -> SocketAddr {
        let n = self.network;
        let ip = [127, 16 + (n >> 8 & 127) as u8, n as u8, host as u8 + 1];
        SocketAddr::from((ip, port))
    }

    /// Link address of control process `i`.
    pub fn control_link(&self, i: usize) -> SocketAddr {
        self.addr(i, 7100)
    }

    /// Operator address of control process `i`.
    pub fn operator_addr(&self, i: usize) -> SocketAddr {
        self.addr(i, 7101)
    }

    /// Address for callers of node `i`.
    pub fn caller_addr(&self, i: usize) -> SocketAddr {
        self.addr(20 + i, 7200)
    }

    /// Admin address of node `i`.
    pub fn admin_addr(&self, i: usize) -> SocketAddr {
        self.addr(20 + i, 7202)
    }

    /// Address of target `i`.
    pub fn target_addr(&self, i: usize) -> SocketAddr {
        self.addr(100 + i, 7300)
    }

    fn list(addrs: impl Iterator<Item = SocketAddr>) -> String {
        let texts: Vec<String> = addrs.map(|a| a.to_string()).collect();
        texts.join(",")
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn spawn(&self, name: &str, program: &Path, args: &[(&str, String)]) -> Proc {
        let log = self.path(&format!("{name}.log"));
        let file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .unwrap();
        // The shell ignores SIGXFSZ for the program, so that a write beyond the limit of
        // `Proc::limit_files` is an error.
        let mut command = Command::new("sh");
        command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]);
        command.arg(program);
        for (flag, value) in args {
            command.arg(format!("--{flag}")).arg(value);
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(file.try_clone().unwrap())
            .stderr(file)
            .spawn()
            .unwrap_or_else(|e| panic!("{} must be built first: {e}", program.display()));
        Proc { child, log }
    }

    /// Starts control process `i` on its existing data directory, if any.
    pub fn start_control(&mut self, i: usize) {
        let peers = (0..self.controls.len()).filter(|j| *j != i);
        let mut args = vec![
            ("link-listen", self.control_link(i).to_string()),
            ("operator-listen", self.operator_addr(i).to_string()),
            ("peers", Self::list(peers.map(|j| self.control_link(j)))),
            ("data", self.data_dir(i).display().to_string()),
            ("fleet-secret-file", self.secret_file("fleet")),
            ("operator-secret-file", self.secret_file("operator")),
        ];
        args.extend(self.control_options.iter().cloned());
        let program = Path::new(env!("CARGO_BIN_EXE_laburnum-control"));
        self.controls[i] = Some(self.spawn(&format!("control{i}"), program, &args));
    }

    /// Data directory of control process `i`.
    pub fn data_dir(&self, i: usize) -> PathBuf {
        self.path(&format!("control{i}"))
    }

    fn secret_file(&self, name: &str) -> String {
        self.path(&format!("{name}.secret")).display().to_string()
    }

    /// Starts node `i`.
    pub fn start_node(&mut self, i: usize) {
        let controls = (0..self.controls.len()).map(|j| self.control_link(j));
        let mut args = vec![
            ("caller-listen", self.caller_addr(i).to_string()),
            ("link-listen", self.addr(20 + i, 7201).to_string()),
            ("admin-listen", self.admin_addr(i).to_string()),
            ("controls", Self::list(controls)),
            ("zone", format!("zone-{}", i % 3)),
            ("log", "info,laburnumtide::node=debug".to_owned()),
            ("fleet-secret-file", self.secret_file("fleet")),
        ];
        args.extend(self.node_options.iter().cloned());
        let program = Path::new(env!("CARGO_BIN_EXE_laburnum-node"));
        self.nodes[i] = Some(self.spawn(&format!("node{i}"), program, &args));
    }

    /// Starts a stand-in target of `service` beside node `node` and returns its number.
    pub fn start_target(&mut self, node: usize, service: &str) -> usize {
        let i = self.targets.len();
        let args = [
            ("listen", self.target_addr(i).to_string()),
            ("node", self.admin_addr(node).to_string()),
            ("name", format!("target-{i}")),
            ("service", service.to_owned()),
        ];
        let bin = Path::new(env!("CARGO_BIN_EXE_laburnum-node"));
        let program = bin.with_file_name("examples").join("target");
        let target = self.spawn(&format!("target{i}"), &program, &args);
        self.targets.push(Some(target));
        i
    }

    /// Runs `laburnumctl` with the fleet's addresses and secret.
    pub fn ctl(&self, args: &[&str]) -> Output {
        let controls = (0..self.controls.len()).map(|j| self.operator_addr(j));
        Command::new(env!("CARGO_BIN_EXE_laburnumctl"))
            .args(args)
            .env("LABURNUM_CONTROLS", Self::list(controls))
            .env(
                "LABURNUM_OPERATOR_SECRET_FILE",
                self.secret_file("operator"),
            )
            .output()
            .unwrap()
    }

    /// Writes a note to a file and submits it.
    pub fn submit(&self, text: &str) -> Output {
        static FILES: AtomicU32 = AtomicU32::new(0);
        let n = FILES.fetch_add(1, Ordering::Relaxed);
        let file = self.path(&format!("note-{n}.toml"));
        std::fs::write(&file, text).unwrap();
        self.ctl(&["submit", &file.display().to_string()])
    }

    /// Prints the end of every log, for a failing test.
    pub fn dump(&self) {
        for name in std::fs::read_dir(self.dir.path()).unwrap().flatten() {
            let path = name.path();
            if path.extension().is_some_and(|e| e == "log") {
                let text = std::fs::read_to_string(&path).unwrap_or_default();
                let tail: Vec<&str> = text.lines().rev().take(40).collect();
                let tail: Vec<&str> = tail.into_iter().rev().collect();
                eprintln!("--- {}\n{}", path.display(), tail.join("\n"));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.dump();
        }
    }
}

/// Waits until `condition` holds.
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
