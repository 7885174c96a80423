//! An engine stand-in in its own process, which a request can crash.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use super::{TestFleet, daemon_process::read_addresses, vm};

/// A prompt that contains this text crashes the engine that runs it.
pub(crate) const CRASH_PROMPT: &str = "CRASH-THE-ENGINE";

/// An engine in its own process, which is killed on drop.
#[derive(Debug)]
pub(crate) struct EngineProcess {
    child: Child,
    /// The address on which the engine listens.
    pub(crate) address: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl EngineProcess {
    /// Starts an engine and adds its VM to the platform's list.
    pub(crate) async fn start(fleet: &TestFleet, name: &str, zone: &str) -> EngineProcess {
        let folder = tempfile::tempdir().expect("a folder");
        let addresses = folder.path().join("addresses.json");
        let child = Command::new(stand_in("standin-engine"))
            .args(["--crash-on", CRASH_PROMPT, "--addresses-file"])
            .arg(&addresses)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the engine starts");
        let bound = read_addresses(&addresses).await;
        let address = bound["http"].as_str().and_then(|it| it.parse().ok());
        let address = address.expect("an address");
        fleet.platform.put_vm(vm(name, zone, "engines", address));
        EngineProcess {
            child,
            address,
            _folder: folder,
        }
    }

    /// Returns whether the process still runs.
    pub(crate) fn is_alive(&mut self) -> bool {
        self.child.try_wait().expect("the process state").is_none()
    }
}

/// Returns the path of a stand-in's program, which is in the parent of the
/// folder with the test programs.
fn stand_in(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test's own path");
    let folder = test.ancestors().nth(2).expect("a target folder");
    let program = folder.join(name);
    assert!(
        program.exists(),
        "{name} isn't built: run cargo build -p comfreyramp-standins --bins"
    );
    program
}
