//! Small fleets of real processes, each fleet on its own loopback addresses.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use laburnumtide::control::api::Status;
use tempfile::TempDir;

/// Timeout for a condition, long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// The fleet secret of every fleet started here.
pub const FLEET_SECRET: &str = "fleet-secret-0123456789";

/// A process that is killed when dropped.
pub struct Proc(Child);

impl Proc {
    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A fleet of control processes and nodes.
pub struct Fleet {
    dir: TempDir,
    bin: PathBuf,
    subnet: u32,
    /// Control processes.
    pub controls: Vec<Proc>,
    /// Nodes.
    pub nodes: Vec<Proc>,
    /// Number of the next note.
    pub number: u64,
}

impl Fleet {
    /// Starts three control processes and `nodes` nodes, and waits until all nodes are registered.
    ///
    /// The addresses are derived from the process id and `index`, which tells the fleets of one process
    /// apart.
    pub fn start(nodes: usize, index: u32) -> Result<Fleet> {
        let dir = TempDir::new()?;
        std::fs::write(dir.path().join("fleet.secret"), FLEET_SECRET)?;
        std::fs::write(
            dir.path().join("operator.secret"),
            "operator-secret-0123456789",
        )?;
        let example = std::env::current_exe()?;
        let bin = example.parent().and_then(Path::parent);
        let mut fleet = Fleet {
            dir,
            bin: bin
                .context("the example is not in target/release/examples")?
                .to_owned(),
            subnet: (std::process::id() << 4) | (index & 15),
            controls: Vec::new(),
            nodes: Vec::new(),
            number: 1,
        };
        for i in 0..3 {
            let control = fleet.start_control(i)?;
            fleet.controls.push(control);
        }
        for i in 0..nodes {
            let node = fleet.start_node(i)?;
            fleet.nodes.push(node);
        }
        fleet.wait_registered(nodes)?;
        Ok(fleet)
    }

    /// Returns a loopback address of this fleet.
    pub fn addr(&self, host: usize, port: u16) -> SocketAddr {
        let n = self.subnet;
        let ip = [127, 16 + (n >> 8 & 127) as u8, n as u8, host as u8 + 1];
        SocketAddr::from((ip, port))
    }

    /// Returns the link addresses of the control processes.
    pub fn control_links(&self) -> Vec<SocketAddr> {
        (0..3).map(|i| self.addr(i, 7100)).collect()
    }

    fn operators(&self) -> String {
        list((0..3).map(|i| self.addr(i, 7101)))
    }

    fn secret(&self, name: &str) -> String {
        let path = self.dir.path().join(format!("{name}.secret"));
        path.display().to_string()
    }

    fn spawn(&self, program: &str, name: &str, args: &[(&str, String)]) -> Result<Proc> {
        let log = File::create(self.dir.path().join(format!("{name}.log")))?;
        let mut command = Command::new(self.bin.join(program));
        for (flag, value) in args {
            command.arg(format!("--{flag}")).arg(value);
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("{program} must be built in release first"))?;
        Ok(Proc(child))
    }

    fn start_control(&self, i: usize) -> Result<Proc> {
        let peers = (0..3).filter(|j| *j != i).map(|j| self.addr(j, 7100));
        let data = self.dir.path().join(format!("control{i}"));
        let args = [
            ("link-listen", self.addr(i, 7100).to_string()),
            ("operator-listen", self.addr(i, 7101).to_string()),
            ("peers", list(peers)),
            ("data", data.display().to_string()),
            ("fleet-secret-file", self.secret("fleet")),
            ("operator-secret-file", self.secret("operator")),
        ];
        self.spawn("laburnum-control", &format!("control{i}"), &args)
    }

    /// Starts node `i`.
    pub fn start_node(&self, i: usize) -> Result<Proc> {
        let args = [
            ("caller-listen", self.addr(20 + i, 7200).to_string()),
            ("link-listen", self.addr(20 + i, 7201).to_string()),
            ("admin-listen", self.addr(20 + i, 7202).to_string()),
            ("controls", list(self.control_links().into_iter())),
            ("zone", format!("zone-{}", i % 3)),
            ("fleet-secret-file", self.secret("fleet")),
        ];
        self.spawn("laburnum-node", &format!("node{i}"), &args)
    }

    /// Returns true if node `i` reports that it is ready.
    pub fn is_ready(&self, i: usize) -> bool {
        let request = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect(self.addr(20 + i, 7202))?;
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n")?;
            let mut response = String::new();
            stream.read_to_string(&mut response)?;
            Ok(response)
        };
        request().is_ok_and(|response| response.starts_with("HTTP/1.1 200"))
    }

    fn ctl(&self, args: &[&str]) -> Result<Output> {
        let output = Command::new(self.bin.join("laburnumctl"))
            .args(args)
            .env("LABURNUM_CONTROLS", self.operators())
            .env("LABURNUM_OPERATOR_SECRET_FILE", self.secret("operator"))
            .output()?;
        Ok(output)
    }

    /// Returns the status as reported by a control process.
    pub fn status(&self) -> Option<Status> {
        let output = self.ctl(&["--json", "status"]).ok()?;
        serde_json::from_slice(&output.stdout).ok()
    }

    /// Waits until exactly `count` nodes are registered.
    pub fn wait_registered(&self, count: usize) -> Result<()> {
        let start = Instant::now();
        while self.status().is_none_or(|s| s.nodes.len() != count) {
            ensure!(
                start.elapsed() < WAIT_TIMEOUT,
                "{count} nodes were not registered in time"
            );
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Submits a note, given without its number, and returns the time until it is in force
    /// everywhere.
    pub fn submit(&mut self, text: &str) -> Result<Duration> {
        let file = self.dir.path().join(format!("note-{}.toml", self.number));
        std::fs::write(&file, format!("number = {}\n{text}", self.number))?;
        let start = Instant::now();
        let output = self.ctl(&["submit", &file.display().to_string(), "--wait", "60s"])?;
        let elapsed = start.elapsed();
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        ensure!(
            output.status.success(),
            "note {} failed: {error}",
            self.number
        );
        self.number += 1;
        Ok(elapsed)
    }

    /// Returns the index of the leader among the control processes.
    pub fn leader(&self) -> Option<usize> {
        let leader = self.status()?.leader?;
        self.control_links()
            .iter()
            .position(|addr| addr.ip() == leader.ip())
    }
}

fn list(addrs: impl Iterator<Item = SocketAddr>) -> String {
    let texts: Vec<String> = addrs.map(|a| a.to_string()).collect();
    texts.join(",")
}
