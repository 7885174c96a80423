//! Processes of the daemon, started with the commands of the deploy file, and the platform
//! that watches their memory.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// The delay after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// How often the platform looks at a process.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// How a daemon is set up.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    pub name: String,
    pub zone: String,
    /// Whether callers reach it; otherwise it runs lots.
    pub is_front: bool,
    pub memory_mb: u64,
}

/// One daemon.
pub struct Daemon {
    pub options: DaemonOptions,
    pub callers: SocketAddr,
    health: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// The highest resident memory of any of its processes, in kB.
    peak_kb: Mutex<u64>,
    /// When the platform ended a process for its memory.
    kills: Mutex<Vec<Instant>>,
    is_stopped: AtomicBool,
}

/// The folder with settings and logs, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> io::Result<Folder> {
        let name = format!("comfreyramp-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns four free ports of an address, which differ.
fn free_ports(ip: IpAddr) -> io::Result<[SocketAddr; 4]> {
    let bind = || TcpListener::bind((ip, 0));
    let listeners = [bind()?, bind()?, bind()?, bind()?];
    let address = |it: usize| listeners[it].local_addr();
    Ok([address(0)?, address(1)?, address(2)?, address(3)?])
}

impl Daemon {
    /// Starts a daemon. Each has an address of its own in the loopback range.
    pub fn start(
        options: DaemonOptions,
        number: u8,
        store: SocketAddr,
        folder: &Folder,
    ) -> io::Result<Arc<Daemon>> {
        let process = std::process::id();
        let ip = Ipv4Addr::new(
            127,
            1 + (process / 250 % 250) as u8,
            (process % 250) as u8,
            number,
        );
        let ip = IpAddr::V4(ip);
        let [callers, health, peers, metrics] = free_ports(ip)?;
        let entry = match options.is_front {
            true => format!(r#""callers": "{callers}", "health": "{health}", "runs_lots": false,"#),
            false => r#""runs_lots": true,"#.to_owned(),
        };
        let text = format!(
            r#"{{
  "name": "{}", "zone": "{}", {entry}
  "peers": "{peers}", "metrics": "{metrics}",
  "store": {{ "address": "{store}", "value_bytes": 1048576, "shortest_lease_s": 1.0 }},
  "live_queue": true, "memory_mb": {}, "stop_grace_s": 8,
  "rate_tolerance": {{ "window_s": 5, "fraction": 0.1, "requests": 20 }},
  "results_kept_s": 120
}}"#,
            options.name, options.zone, options.memory_mb
        );
        let settings = folder.0.join(format!("{}.settings", options.name));
        fs::write(&settings, text)?;
        let log = folder.0.join(format!("{}.log", options.name));
        let daemon = Arc::new(Daemon {
            options,
            callers,
            health,
            settings,
            log,
            child: Mutex::new(None),
            peak_kb: Mutex::new(0),
            kills: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        });
        DAEMONS.lock().unwrap().push(daemon.clone());
        daemon.spawn()?;
        Ok(daemon)
    }

    fn spawn(&self) -> io::Result<()> {
        let mut running = self.child.lock().unwrap();
        if self.is_stopped.load(Ordering::SeqCst) {
            return Ok(());
        }
        let mut options = fs::OpenOptions::new();
        let log = options.create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/comfreyramp-node")
            .arg("serve")
            .env("COMFREYRAMP_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        *running = Some(child);
        Ok(())
    }

    /// Waits until the daemon reports that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal to the daemon's process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            // SAFETY: the call has no memory arguments, and the process is a child of this one.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns whether the daemon reports that it is ready.
    fn is_ready(&self) -> bool {
        let second = Duration::from_secs(1);
        let answer = http::call(self.health, "GET", "/-/readyz", &[], b"", second);
        answer.is_ok_and(|it| it.status == 200)
    }

    /// Ends the daemon for good.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        if let Some(child) = &mut *self.child.lock().unwrap() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn peak_mb(&self) -> u64 {
        *self.peak_kb.lock().unwrap() / 1_000
    }

    pub fn kills(&self) -> usize {
        self.kills.lock().unwrap().len()
    }

    fn resident_kb(&self) -> u64 {
        let child = self.child.lock().unwrap();
        let Some(child) = &*child else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|it| it.starts_with("VmRSS:"));
        let text = line.and_then(|it| it.split_whitespace().nth(1));
        text.and_then(|it| it.parse().ok()).unwrap_or_default()
    }

    /// Watches the daemon as the platform does: a process that uses more than its memory is
    /// killed, and one that has ended is started again after a short delay.
    pub fn watch(self: &Arc<Self>, record: Record) {
        let daemon = self.clone();
        std::thread::spawn(move || {
            while !daemon.is_stopped.load(Ordering::SeqCst) {
                std::thread::sleep(WATCH_INTERVAL);
                let resident = daemon.resident_kb();
                let mut peak = daemon.peak_kb.lock().unwrap();
                *peak = resident.max(*peak);
                drop(peak);
                if resident > daemon.options.memory_mb * 1_000 {
                    daemon.kills.lock().unwrap().push(Instant::now());
                    daemon.signal(9);
                    record.line(format!(
                        "platform: {} uses {} MB of its {} MB and is killed",
                        daemon.options.name,
                        resident / 1_000,
                        daemon.options.memory_mb
                    ));
                }
                daemon.restart_ended(&record);
            }
        });
    }

    fn restart_ended(&self, record: &Record) {
        let mut child = self.child.lock().unwrap();
        let has_ended = child
            .as_mut()
            .is_some_and(|it| matches!(it.try_wait(), Ok(Some(_))));
        drop(child.take_if(|_| has_ended));
        drop(child);
        if has_ended && !self.is_stopped.load(Ordering::SeqCst) {
            record.line(format!("platform: {} has ended", self.options.name));
            std::thread::sleep(RESTART_DELAY);
            if !self.is_stopped.load(Ordering::SeqCst) && self.spawn().is_ok() {
                record.line(format!("platform: {} is started again", self.options.name));
            }
        }
    }
}

/// All daemons that were started.
static DAEMONS: Mutex<Vec<Arc<Daemon>>> = Mutex::new(Vec::new());

/// Ends the processes of all daemons.
pub fn stop_all() {
    for daemon in DAEMONS.lock().unwrap().iter() {
        daemon.stop();
    }
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}
