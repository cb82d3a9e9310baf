//! Runs the first steps of the operators' page with the real binary: starts the daemon, applies
//! rules, explains a refusal and stops the daemon.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use policy::clock::SystemClock;
use standin::endpoint::{Endpoint, Spec, free_address};
use standin::ledger::Ledger;
use standin::platform::Platform;
use standin::target::{Caller, RoundRobin, Target, request};

const BINARY: &str = env!("CARGO_BIN_EXE_sapphiredoor");
const KEY: &str = "transcript-shared-key";
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

struct Daemon {
    process: Child,
    directory: PathBuf,
    caller: SocketAddr,
    operator: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Daemon {
    fn start(platform: SocketAddr) -> Self {
        let directory = std::env::temp_dir().join(format!("transcript-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("directory is created");
        let free = || free_address().expect("a port is free");
        let (caller, operator) = (free(), free());
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings.jsonc");
        let text = std::fs::read_to_string(example).expect("example is readable");
        let text = text
            .replace("127.0.0.1:7401", &caller.to_string())
            .replace("127.0.0.1:7402", &operator.to_string())
            .replace("127.0.0.1:7403", &free().to_string())
            .replace("127.0.0.1:7100", &platform.to_string())
            .replace("replace-this-shared-key", KEY)
            .replace("\"127.0.0.2:7403\"", "");
        std::fs::write(directory.join("settings.jsonc"), text).expect("settings are written");
        std::fs::write(directory.join("operator.key"), KEY).expect("key is written");
        let mut command = Command::new(BINARY);
        command
            .args(["serve", "--settings"])
            .arg(directory.join("settings.jsonc"));
        let process = command.spawn().expect("daemon starts");
        Self {
            process,
            directory,
            caller,
            operator,
        }
    }

    /// Runs an operator's command against the daemon.
    fn run(&self, words: &[&str]) -> Output {
        let mut command = Command::new(BINARY);
        command
            .args(words)
            .arg("--daemon")
            .arg(self.operator.to_string());
        command
            .arg("--key-file")
            .arg(self.directory.join("operator.key"));
        command.output().expect("command runs")
    }

    /// Runs a command, which must succeed, and returns its standard output.
    fn stdout(&self, words: &[&str]) -> String {
        let output = self.run(words);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{words:?}: {error}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }
}

/// Guards against steps that work alone but not in sequence: each step needs the one before it.
#[tokio::test(flavor = "multi_thread")]
async fn first_steps_of_the_operators_page_work() {
    let clock = Arc::new(SystemClock::new());
    let address = free_address().expect("a port is free");
    let platform = Platform::start(address, Arc::<SystemClock>::clone(&clock))
        .await
        .expect("platform starts");
    let mut daemon = Daemon::start(platform.address());
    let spec = Spec {
        service: "vitrina".into(),
        service_ms: 1.0,
        ..Spec::default()
    };
    let target = Arc::new(Target::Daemons(RoundRobin::new(vec![daemon.caller])));
    let ledger = Arc::new(Ledger::default());
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let endpoint = Endpoint::start(local, spec, clock, ledger, target).await;
    let _endpoint = endpoint
        .expect("endpoint starts")
        .with_daemon(daemon.caller);
    let settings = daemon.directory.join("settings.jsonc");
    let checked = Command::new(BINARY)
        .args(["settings", "check"])
        .arg(&settings)
        .status();
    assert!(checked.expect("command runs").success());
    let wait_for_daemon = async {
        while !daemon.run(&["status"]).status.success() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait_for_daemon)
        .await
        .expect("daemon replies in time");

    let rules = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/calor-vivero.rules");
    let rules = rules.to_str().expect("path is text");
    let edit_args = ["--author", "Ana Rojas", "--reason", "first rules"];
    let apply = [
        "rules",
        "apply",
        rules,
        "--base",
        "0",
        "--wait",
        "--wait-seconds",
        "30",
    ];
    daemon.stdout(&[&apply[..], &edit_args].concat());
    assert!(daemon.stdout(&["rules", "show"]).contains("asked by"));
    assert!(daemon.stdout(&["rules", "history"]).contains("Ana Rojas"));
    assert!(daemon.stdout(&["members"]).contains("despacho-1"));
    assert!(daemon.stdout(&["homes", "list"]).contains("SLOT"));

    let call = request(daemon.caller, "origem", "GET", "/").body(Full::new(Bytes::new()));
    let call = call.expect("request is valid");
    let response = Caller::new()
        .call(call, WAIT_TIMEOUT)
        .await
        .expect("call gets a response");
    let body: serde_json::Value = serde_json::from_slice(&response.body).expect("body is JSON");
    assert_eq!(body["ran"], "not-run");
    let id = body["call"]
        .as_str()
        .expect("refusal has a call id")
        .to_owned();
    let explanation = daemon.stdout(&["explain", "--call", &id]);
    assert!(explanation.contains("no-endpoint"), "{explanation}");
    assert!(daemon.stdout(&["report"]).contains("KIND"));

    let id = daemon.process.id().to_string();
    let status = Command::new("kill").args(["-TERM", &id]).status();
    assert!(status.expect("signal is sent").success());
    let exit_status = tokio::task::block_in_place(|| daemon.process.wait()).expect("daemon exits");
    assert!(exit_status.success(), "{exit_status}");
}
