//! A daemon in its own process, which a test can kill and suspend.

use std::{
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    time::Duration,
};

use comfreyramp_http::{MessageBody, Method, Request, header};
use serde_json::{Value, json};

use super::{TOKEN, TestFleet, WAIT_TIMEOUT};

/// A daemon in its own process, which is killed on drop.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl DaemonProcess {
    /// Starts a daemon that joins a fleet and waits until it is ready.
    pub(crate) async fn start(fleet: &TestFleet, name: &str) -> DaemonProcess {
        let folder = tempfile::tempdir().expect("a folder");
        let settings = folder.path().join("settings.json");
        let addresses = folder.path().join("addresses.json");
        let platform = format!("http://{}", fleet.platform_address);
        let text = json!({
            "name": name,
            "region": "test",
            "zone": "zone-1",
            "callers": "127.0.0.1:0",
            "operators": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
            "platform": { "store": platform, "vm_list": platform },
            "operators_token": TOKEN,
            "addresses_file": addresses,
        });
        std::fs::write(&settings, text.to_string()).expect("the settings are written");
        // Tests of other crates include this file too; there cargo doesn't set
        // the variable.
        let program = option_env!("CARGO_BIN_EXE_comfreyrampd").unwrap_or("comfreyrampd");
        let child = Command::new(program)
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let bound = read_addresses(&addresses).await;
        let address = |door: &str| bound[door].as_str().and_then(|it| it.parse().ok());
        let daemon = DaemonProcess {
            child,
            callers: address("callers").expect("an address"),
            operators: address("operators").expect("an address"),
            _folder: folder,
        };
        daemon.wait_ready(fleet).await;
        daemon
    }

    /// Builds a request to the daemon's caller API.
    pub(crate) fn request(
        &self,
        method: Method,
        path: &str,
        key: &str,
        body: impl Into<MessageBody>,
    ) -> Request<MessageBody> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.callers))
            .header(header::AUTHORIZATION, format!("Bearer {key}"))
            .body(body.into())
            .expect("a valid request")
    }

    /// Kills the process, as the loss of its VM would.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends the process a signal such as `STOP`, `CONT` or `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(sent.expect("kill runs").success(), "{name} is sent");
    }

    /// Waits until the process exits by itself, and returns whether it exited
    /// successfully.
    pub(crate) async fn wait_for_exit(&mut self) -> bool {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process state") {
                return status.success();
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "the process never exited"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the daemon is ready and knows a server of each group.
    async fn wait_ready(&self, fleet: &TestFleet) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let request = Request::builder()
                .uri(format!("http://{}/status", self.operators))
                .header(header::AUTHORIZATION, format!("Bearer {TOKEN}"))
                .body(MessageBody::empty())
                .expect("a valid request");
            let status = fleet.fetch(request).await.json();
            let servers = status["servers"].as_array().map_or(0, Vec::len);
            if status["ready"] == true && servers > fleet.engines.len() {
                return;
            }
            assert!(tokio::time::Instant::now() < deadline, "{status}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

pub(super) async fn read_addresses(path: &Path) -> Value {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Ok(text) = std::fs::read(path) {
            return serde_json::from_slice(&text).expect("the addresses");
        }
        assert!(tokio::time::Instant::now() < deadline, "no addresses");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
