//! Starts a small deployment of the project's programs on loopback addresses, with a stand-in
//! server, client and operator that follow the users' pages. Uses the standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Ports, the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub inbound: u16,
    pub outbound: u16,
    pub server: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
}

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let ms = self.start.elapsed().as_millis();
        let _ = writeln!(file, "{:>8.3} {}", ms as f64 / 1000.0, text.as_ref());
    }
}

/// Why a run couldn't show anything; it ends with exit code 2.
#[derive(Debug)]
pub struct CannotRun(pub String);

pub type Step<T> = Result<T, CannotRun>;

pub fn cannot<T>(text: impl Into<String>) -> Step<T> {
    Err(CannotRun(text.into()))
}

/// Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
pub fn run_case(case: impl FnOnce(&mut Fleet, bool) -> Step<bool>) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
    let record = Record {
        start: Instant::now(),
        file: Arc::new(Mutex::new(file)),
    };
    record.line(format!("start, TROUBLE={}", u8::from(trouble)));
    let code = {
        let mut fleet = Fleet::new(record.clone());
        match case(&mut fleet, trouble) {
            Ok(true) => 1,
            Ok(false) => 0,
            Err(CannotRun(text)) => {
                record.line(format!("cannot run: {text}"));
                2
            }
        }
    };
    record.line(format!("exit code {code}"));
    println!("exit code {code}; see record.txt");
    std::process::exit(code)
}

/// A machine with one process of the project.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub is_core: bool,
    /// Service of the server on a `sidecar` machine.
    pub service: String,
}

/// The deployment under test; dropping it ends all its processes.
pub struct Fleet {
    pub record: Record,
    pub ports: Ports,
    pub dir: PathBuf,
    pub machines: Vec<Machine>,
    pub seeds: Vec<String>,
    pub losses: usize,
    subnet: u8,
    children: BTreeMap<String, Child>,
    stop: Arc<AtomicBool>,
}

impl Fleet {
    fn new(record: Record) -> Fleet {
        let random = random();
        let subnet = 1 + (random % 250) as u8;
        let base = 20_000 + ((random >> 16) % 20_000) as u16;
        let dir = std::env::temp_dir().join(format!("review-{}-{:x}", std::process::id(), random));
        fs::create_dir_all(&dir).expect("a temporary folder can be made");
        Fleet {
            record,
            ports: Ports {
                inbound: base,
                outbound: base + 1,
                server: base + 2,
                ready: base + 3,
                control: base + 4,
                internal: base + 10,
            },
            dir,
            machines: Vec::new(),
            seeds: Vec::new(),
            losses: 2,
            subnet,
            children: BTreeMap::new(),
            stop: Arc::new(AtomicBool::new(false)),
        }
    }

    pub fn stopping(&self) -> Arc<AtomicBool> {
        self.stop.clone()
    }

    /// Adds a machine; nothing is started yet.
    pub fn add(&mut self, is_core: bool, zone: &str, service: &str) -> Step<Machine> {
        let number = self.machines.len() + 10;
        let ip = format!("127.77.{}.{number}", self.subnet);
        let p = self.ports;
        for port in [p.inbound, p.outbound, p.server, p.ready, p.control, p.internal, p.internal + 1] {
            if TcpListener::bind((ip.as_str(), port)).is_err() {
                return cannot(format!("{ip}:{port} is not free"));
            }
        }
        let class = if is_core { "core" } else { "sidecar" };
        let machine = Machine {
            name: format!("{class}-{zone}-{number}"),
            ip,
            zone: zone.to_owned(),
            is_core,
            service: service.to_owned(),
        };
        self.machines.push(machine.clone());
        Ok(machine)
    }

    pub fn api(&self, machine: &Machine) -> String {
        format!("{}:{}", machine.ip, self.ports.control)
    }

    /// Writes the settings file of a machine, in the platform's format.
    pub fn write_settings(&self, m: &Machine, bootstrap: bool) {
        let p = self.ports;
        let class = if m.is_core { "core" } else { "sidecar" };
        let ip = &m.ip;
        let mut text = format!(
            "localNode.node={}\nlocalNode.role={}\nlocalNode.machineClass={class}\n\
             localNode.serves={}\nlocalNode.ip={ip}\nlocalNode.zone={}\nlocalNode.region=region\n\
             localNode.countsAsLoss={}\nlocalNode.bootstrap={bootstrap}\n",
            m.name,
            if m.is_core { "control" } else { "node" },
            if m.is_core { "control_plane" } else { "sidecar" },
            m.zone,
            m.is_core,
        );
        if m.is_core {
            let data = self.data_dir(m);
            text += &format!("localNode.dataDir={}\n", data.display());
        } else {
            text += &format!(
                "localNode.appAddr={ip}:{}\nlocalNode.service={}\n\
                 network.listen.inbound={ip}:{}\nnetwork.listen.outbound={ip}:{}\n\
                 network.listen.ready={ip}:{}\n",
                p.server, m.service, p.inbound, p.outbound, p.ready
            );
        }
        text += &format!(
            "network.listen.controlPlane={ip}:{}\nnetwork.internalPorts={},{}\nnetwork.seeds={}\n\
             network.zones.zone-a=region\nplatform.discovery=static\nplatform.entry=static\n\
             platform.heartbeatMs=1500\n\
             terms.contracts=base,drain,config,cost,retry,recover,health,tenants,quota\n\
             terms.faultTolerance.machines={}\nterms.faultTolerance.zones=0\n\
             terms.faultTolerance.regions=0\nterms.bounds.seedLagS=3\nterms.bounds.reuseAfterS=2\n\
             terms.bounds.contactMs=3000\nterms.bounds.ackMs=4000\nterms.bounds.catchUpS=4\n\
             terms.bounds.drainMs=2000\nterms.bounds.graceS=6\nterms.bounds.lossSlackMs=200\n\
             terms.bounds.configPropagationMs=2000\nterms.bounds.downgradeSlackMs=250\n\
             terms.bounds.maxStretchMs=5000\nterms.bounds.strictRevocation=true\n\
             terms.bounds.revokeMs=5000\nterms.bounds.retryBudgetRatio=0.2\n\
             terms.bounds.budgetWindowS=10\nterms.bounds.budgetExtraRetries=64\n\
             terms.bounds.quotaWindowS=5\nterms.bounds.quotaOverage=0.1\n\
             terms.bounds.quotaSlack=20\nterms.bounds.recoveryS=15\nterms.bounds.probesPerS=3\n\
             terms.bounds.floorShare=0.7\n",
            p.control,
            p.internal,
            p.internal + 5,
            self.seeds.join(","),
            self.losses,
        );
        fs::write(self.settings_path(m), text).expect("settings can be written");
    }

    pub fn data_dir(&self, m: &Machine) -> PathBuf {
        self.dir.join(format!("{}.data", m.name))
    }

    fn settings_path(&self, m: &Machine) -> PathBuf {
        self.dir.join(format!("{}.conf", m.name))
    }

    /// Starts the process of a machine with the command and variables of the deploy file.
    pub fn start(&mut self, m: &Machine) -> Step<()> {
        let program = if m.is_core {
            "target/release/laburnum-platform-control"
        } else {
            "target/release/laburnum-platform-node"
        };
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", m.name)))
            .expect("a log can be written");
        let mut command = Command::new(program);
        command
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", std::env::var_os("HOME").unwrap_or_default())
            .env("LABURNUM_FLEET_SECRET", "platform-fleet-secret-0")
            .env("LABURNUM_LOG", "info")
            .env("LABURNUMTIDE_NODE_FILE", self.settings_path(m))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log can be shared"))
            .stderr(log);
        if m.is_core {
            command.env("LABURNUM_OPERATOR_SECRET", "platform-operator-secret-0");
        }
        match command.spawn() {
            Ok(child) => {
                self.record.line(format!("started {} at {}, pid {}", m.name, m.ip, child.id()));
                if let Ok(path) = std::env::var("REVIEW_PIDS") {
                    let file = fs::OpenOptions::new().create(true).append(true).open(path);
                    let _ = file.and_then(|mut f| writeln!(f, "{}", child.id()));
                }
                self.children.insert(m.name.clone(), child);
                Ok(())
            }
            Err(e) => cannot(format!("{program} can't be started: {e}")),
        }
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, m: &Machine, signal: i32) {
        if let Some(child) = self.children.get(&m.name) {
            self.record.line(format!("signal {signal} to {}", m.name));
            // SAFETY: plain system call on a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process of a machine and waits for its end.
    pub fn kill(&mut self, m: &Machine) {
        if let Some(mut child) = self.children.remove(&m.name) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("killed {} (SIGKILL)", m.name));
        }
    }

    /// Returns how the process of a machine has ended by itself, if it has.
    pub fn ended(&mut self, m: &Machine) -> Option<String> {
        let status = self.children.get_mut(&m.name)?.try_wait().ok()??;
        self.children.remove(&m.name);
        Some(status.to_string())
    }

    pub fn log_of(&self, m: &Machine) -> String {
        fs::read_to_string(self.dir.join(format!("{}.log", m.name))).unwrap_or_default()
    }

    /// Copies the log lines that contain one of `words` into the record.
    pub fn copy_log(&self, m: &Machine, words: &[&str], most: usize) {
        let text = self.log_of(m);
        let lines = text.lines().filter(|l| words.iter().any(|w| l.contains(w)));
        for line in lines.take(most) {
            self.record.line(format!("log of {}: {line}", m.name));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for child in self.children.values_mut() {
            // SAFETY: plain system call; a stopped process must continue to end.
            unsafe { kill(child.id() as i32, SIGCONT) };
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns a number that differs from run to run.
pub fn random() -> u64 {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    let mut x = now ^ (u64::from(std::process::id()) << 32) ^ COUNT.fetch_add(0x9e37_79b9, Ordering::Relaxed);
    for _ in 0..3 {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
    }
    x
}

pub fn request_id() -> String {
    format!("{:016x}", random() | 1 << 60)
}

/// A response as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a new connection and reads the whole response.
pub fn call(
    addr: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Answer, String> {
    let addr: SocketAddr = addr.parse().map_err(|_| "address".to_owned())?;
    let connect = limit.min(Duration::from_secs(1));
    let mut stream = TcpStream::connect_timeout(&addr, connect).map_err(|e| format!("connect: {e}"))?;
    stream.set_read_timeout(Some(limit)).unwrap();
    stream.set_write_timeout(Some(limit)).unwrap();
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        head += &format!("Host: {addr}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    stream.write_all(head.as_bytes()).map_err(|e| format!("write: {e}"))?;
    stream.write_all(body).map_err(|e| format!("write: {e}"))?;
    read_answer(&mut BufReader::new(stream))
}

pub fn read_head(reader: &mut impl BufRead) -> Result<(String, Vec<(String, String)>), String> {
    let mut first = String::new();
    if reader.read_line(&mut first).map_err(|e| format!("read: {e}"))? == 0 {
        return Err("closed".to_owned());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).map_err(|e| format!("read: {e}"))? == 0 {
            return Err("closed within a head".to_owned());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

pub fn read_body(reader: &mut impl BufRead, headers: &[(String, String)], until_close: bool) -> Result<Vec<u8>, String> {
    let get = |name: &str| headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.clone());
    let error = |e: std::io::Error| format!("read body: {e}");
    let mut body = Vec::new();
    if get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).map_err(error)?;
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| "bad chunk".to_owned())?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).map_err(error)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = get("content-length").and_then(|v| v.parse::<usize>().ok()) {
        body.resize(length, 0);
        reader.read_exact(&mut body).map_err(error)?;
    } else if until_close {
        reader.read_to_end(&mut body).map_err(error)?;
    }
    Ok(body)
}

pub fn read_answer(reader: &mut impl BufRead) -> Result<Answer, String> {
    let (first, headers) = read_head(reader)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let body = read_body(reader, &headers, status != 204)?;
    Ok(Answer { status, headers, body })
}

/// The operator: picks among the core machines, follows redirects, moves on after a failure.
pub struct Operator {
    pub addrs: Vec<String>,
    pub record: Record,
    next: usize,
}

/// What an order ended with.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Acknowledged(Duration),
    Refused(u16),
    NoClearAnswer(String),
}

impl Operator {
    pub fn new(addrs: Vec<String>, record: Record) -> Operator {
        Operator { addrs, record, next: 0 }
    }

    /// Sends one call, following a 307 at most twice.
    fn once(&mut self, method: &str, path: &str, body: &[u8], limit: Duration) -> Result<Answer, String> {
        let mut addr = self.addrs[self.next % self.addrs.len()].clone();
        for _ in 0..3 {
            let headers = [("Content-Type", "application/json")];
            let answer = call(&addr, method, path, &headers, body, limit)?;
            match (answer.status, answer.header("location")) {
                (307, Some(to)) => {
                    let to = to.trim_start_matches("http://");
                    addr = to.split('/').next().unwrap_or(to).to_owned();
                }
                _ => return Ok(answer),
            }
        }
        Err("too many redirects".to_owned())
    }

    /// Sends an order again and again, unchanged, until it has a clear answer or `patience` is over.
    pub fn order(&mut self, name: &str, document: &str, patience: Duration) -> Order {
        let start = Instant::now();
        let mut last = String::new();
        let mut backoff = Duration::from_millis(100);
        let mut tries = 0;
        // A second, and more for a large body.
        let limit = Duration::from_millis(1_000 + document.len() as u64 / 1_000);
        self.record.line(format!("order {name}: {} bytes sent", document.len()));
        while start.elapsed() < patience {
            tries += 1;
            match self.once("POST", "/config/replace", document.as_bytes(), limit) {
                Ok(a) if a.status == 200 => {
                    let after = start.elapsed();
                    self.record.line(format!("order {name}: 200 after {} ms, {tries} tries", after.as_millis()));
                    return Order::Acknowledged(after);
                }
                Ok(a) if [400, 409, 412, 413, 422].contains(&a.status) => {
                    self.record.line(format!("order {name}: {} {}", a.status, a.text()));
                    return Order::Refused(a.status);
                }
                Ok(a) => last = format!("status {}", a.status),
                Err(e) => last = e,
            }
            self.next += 1;
            thread::sleep(backoff);
            backoff = (backoff * 2).min(Duration::from_millis(800));
        }
        let ms = start.elapsed().as_millis();
        self.record.line(format!("order {name}: no clear answer in {ms} ms, {tries} tries, last: {last}"));
        Order::NoClearAnswer(last)
    }

    /// Reads the configuration back; `None` without a 200 in time.
    pub fn read(&mut self, patience: Duration) -> Option<String> {
        let start = Instant::now();
        while start.elapsed() < patience {
            if let Ok(a) = self.once("GET", "/config/read", b"", Duration::from_secs(1))
                && a.status == 200
            {
                return Some(a.text());
            }
            self.next += 1;
            thread::sleep(Duration::from_millis(100));
        }
        None
    }
}

/// Size of a large response: five seconds on a link of 5 Mbit/s.
pub const LARGE_BYTES: usize = 3_125_000;

/// A stand-in server beside a node: heartbeats, and HTTP/1.1 requests, each of which it runs.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub runs: Arc<Mutex<Vec<(String, String)>>>,
}

impl Server {
    /// Starts the server of `machine` and its heartbeats.
    pub fn start(fleet: &Fleet, machine: &Machine) -> Step<Server> {
        let addr = format!("{}:{}", machine.ip, fleet.ports.server);
        let Ok(listener) = TcpListener::bind(&addr) else {
            return cannot(format!("{addr} is not free"));
        };
        let server = Server {
            id: format!("i-{:08x}", random() as u32),
            service: machine.service.clone(),
            runs: Arc::default(),
        };
        let (stop, record) = (fleet.stopping(), fleet.record.clone());
        record.line(format!("server {} of {} at {addr}", server.id, server.service));
        let beats = server.clone();
        let api = fleet.api(machine);
        let (zone, beat_stop) = (machine.zone.clone(), stop.clone());
        thread::spawn(move || beats.send_heartbeats(&addr, &api, &zone, &beat_stop));
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let (server, record) = (accepting.clone(), record.clone());
                thread::spawn(move || server.serve(stream, &record));
            }
        });
        Ok(server)
    }

    fn send_heartbeats(&self, addr: &str, api: &str, zone: &str, stop: &AtomicBool) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let mut sequence = 0;
        while !stop.load(Ordering::SeqCst) {
            sequence += 1;
            let body = format!(
                "{{\"addr\":\"{addr}\",\"born\":{born},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
                 \"zone\":\"{zone}\",\"slots\":8}},\"status\":{{\"state\":\"ready\",\
                 \"sequence\":{sequence},\"warmupLeftMs\":0}}}}",
                self.service
            );
            let path = format!("/instances/{}/heartbeat", self.id);
            let headers = [("Content-Type", "application/json")];
            let limit = Duration::from_secs(1);
            let sent = call(api, "POST", &path, &headers, body.as_bytes(), limit);
            let ok = sent.is_ok_and(|a| a.status == 200);
            thread::sleep(Duration::from_millis(if ok { 1_500 } else { 300 }));
        }
    }

    /// Sends [`LARGE_BYTES`] at the speed of a link of 5 Mbit/s.
    fn send_large(&self, writer: &mut TcpStream, id: &str, record: &Record) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Laburnumtide-Request-Id: {id}\r\n\
             X-Laburnumtide-Response-Seal: {}.{id}\r\nContent-Length: {LARGE_BYTES}\r\n\r\n",
            self.service
        );
        let part = vec![b'x'; LARGE_BYTES / 50];
        let mut sent = writer.write_all(head.as_bytes()).is_ok();
        for i in 0..50 {
            sent = sent && writer.write_all(&part).is_ok();
            if !sent {
                record.line(format!("server {}: connection of {id} ended after part {i} of 50", self.id));
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.line(format!("server {}: sent all of {id}", self.id));
        true
    }

    fn serve(&self, stream: TcpStream, record: &Record) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok((first, headers)) = read_head(&mut reader) {
            let Ok(_body) = read_body(&mut reader, &headers, false) else { return };
            let get = |name: &str| {
                let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
                found.map(|(_, v)| v.clone()).unwrap_or_default()
            };
            let id = get("X-Laburnumtide-Request-Id");
            let expected = get("X-Laburnumtide-Target-Instance");
            let mut parts = first.split(' ');
            let (method, path) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
            let sent = if path == "/health" {
                format!("HTTP/1.1 200 OK\r\nX-Laburnumtide-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id)
            } else if !expected.is_empty() && expected != self.id {
                format!("HTTP/1.1 421 Misdirected Request\r\nX-Laburnumtide-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n")
            } else {
                self.runs.lock().unwrap().push((id.clone(), path.to_owned()));
                if path.contains("/large") {
                    record.line(format!("server {} runs {id}: {method} {path}, a large response", self.id));
                    if !self.send_large(&mut writer, &id, record) {
                        return;
                    }
                    continue;
                }
                record.line(format!("server {} of {} ran {id}: {method} {path}", self.id, self.service));
                let body = format!("data of {}", self.service);
                format!(
                    "HTTP/1.1 200 OK\r\nX-Laburnumtide-Request-Id: {id}\r\n\
                     X-Laburnumtide-Response-Seal: {}.{}\r\nContent-Length: {}\r\n\r\n{body}",
                    self.service, id, body.len()
                )
            };
            if writer.write_all(sent.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Waits until `condition` holds; returns false after `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Returns true if the node of a machine says that it is ready.
pub fn is_ready(fleet: &Fleet, m: &Machine) -> bool {
    let addr = format!("{}:{}", m.ip, fleet.ports.ready);
    call(&addr, "GET", "/ready", &[], b"", Duration::from_millis(500)).is_ok_and(|a| a.status == 200)
}

/// A route in a configuration document.
pub struct RouteSpec<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub prefix: &'a str,
    pub service: &'a str,
    pub public: bool,
}

/// Returns a configuration document of one host.
pub fn document(version: u64, base: u64, host: &str, services: &[&str], routes: &[RouteSpec<'_>], tenants: &str) -> String {
    let rules: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                "{{\"name\":\"{}\",\"kind\":\"{}\",\"targetLatencyMs\":600,\"priority\":1,\"public\":{},\
                 \"match\":{{\"pathPrefix\":\"{}\"}},\"action\":{{\"service\":\"{}\",\"timeoutMs\":2000,\
                 \"maxAttempts\":2}}}}",
                r.name, r.kind, r.public, r.prefix, r.service
            )
        })
        .collect();
    let clusters: Vec<String> = services
        .iter()
        .map(|s| {
            format!(
                "{{\"name\":\"{s}\",\"healthPath\":\"/health\",\"maxConns\":390,\"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{tenants}],\"baseVersion\":\"r{base}\",\
         \"listeners\":[{{\"host\":\"{host}\",\"rules\":[{}]}}],\"clusters\":[{}]}}",
        rules.join(","),
        clusters.join(",")
    )
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn exists(path: &Path) -> bool {
    path.exists()
}

/// Starts `cores` core machines, of which the first three are the seeds, and the given `sidecar`
/// machines with their servers.
pub fn start_deployment(
    fleet: &mut Fleet,
    cores: usize,
    sidecars: &[(&str, &str)],
) -> Step<(Vec<Machine>, Vec<Machine>, Vec<Server>)> {
    let zones = ["zone-a", "zone-b", "zone-c"];
    let mut core = Vec::new();
    for i in 0..cores {
        core.push(fleet.add(true, zones[i % 3], "")?);
    }
    fleet.seeds = core.iter().take(3).map(|m| fleet.api(m)).collect();
    let mut nodes = Vec::new();
    for (zone, service) in sidecars {
        nodes.push(fleet.add(false, zone, service)?);
    }
    for m in core.iter().chain(&nodes) {
        fleet.write_settings(m, true);
    }
    for m in core.iter().chain(&nodes) {
        fleet.start(m)?;
    }
    let mut servers = Vec::new();
    for m in &nodes {
        servers.push(Server::start(fleet, m)?);
    }
    Ok((core, nodes, servers))
}
