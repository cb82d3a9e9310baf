//! Daemon processes under test, each with its settings file.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use serde::Serialize;
use tokio::process::{Child, Command};

use crate::endpoint::free_address;

/// Key that the daemons of a run share.
const KEY: &str = "key-of-the-stand-in-run-0000000000000000";

/// Positions in `/proc/PID/stat` after the program's name.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;
const RESIDENT_PAGES: usize = 21;
/// Unit of processor time there.
const TICK: Duration = Duration::from_millis(10);
/// Bytes of a page of memory.
const PAGE: u64 = 4096;

/// What a process has used since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Settings {
    /// Name of the VM.
    pub vm: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for calls and control between daemons.
    pub peer_address: SocketAddr,
    /// Address for gossip, UDP.
    pub gossip_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Shared keys.
    pub keys: Vec<String>,
    /// Gossip addresses of the first daemon of each data centre.
    pub contacts: Vec<SocketAddr>,
}

impl Settings {
    /// Settings with free loopback addresses and no contacts.
    ///
    /// # Errors
    ///
    /// The error of the operating system if no port is free.
    pub fn new(vm: &str, data_centre: &str, platform: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            vm: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            caller_address: free_address()?,
            peer_address: free_address()?,
            gossip_address: free_address()?,
            operator_address: free_address()?,
            platform_address: platform,
            keys: vec![KEY.to_owned()],
            contacts: Vec::new(),
        })
    }
}

/// Names the first daemon of each data centre as a contact of all.
pub fn set_contacts(fleet: &mut [Settings]) {
    let mut seen = Vec::new();
    let mut contacts = Vec::new();
    for settings in fleet.iter() {
        if !seen.contains(&settings.data_centre) {
            seen.push(settings.data_centre.clone());
            contacts.push(settings.peer_address);
        }
    }
    for settings in fleet {
        settings.contacts.clone_from(&contacts);
    }
}

/// A running daemon. It is killed when it is dropped.
#[derive(Debug)]
pub struct Daemon {
    settings: Settings,
    log: PathBuf,
    process: Child,
}

impl Daemon {
    /// Writes the settings into `directory` and starts the binary. Its output goes to a log there.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the files or the process cannot be created.
    ///
    /// # Panics
    ///
    /// Panics if the settings are not serialisable.
    pub fn start(binary: &Path, directory: &Path, settings: Settings) -> io::Result<Self> {
        let file = directory.join(format!("{}.jsonc", settings.vm));
        let text = serde_json::to_string_pretty(&settings).expect("settings are serialisable");
        std::fs::write(&file, text)?;
        let log = directory.join(format!("{}.log", settings.vm));
        let output = File::create(&log)?;
        let process = Command::new(binary)
            .arg("serve")
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Self {
            settings,
            log,
            process,
        })
    }

    /// Settings of the daemon.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// File with the output of the daemon.
    #[must_use]
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// What the process has used since its start.
    ///
    /// # Errors
    ///
    /// The error of the operating system if it does not tell.
    pub fn usage(&self) -> io::Result<Usage> {
        let unreadable = || io::Error::other("the figures of the process cannot be read");
        let id = self.process.id().ok_or_else(unreadable)?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
        // The name of the program, in brackets, may hold spaces.
        let (_, fields) = stat.rsplit_once(") ").ok_or_else(unreadable)?;
        let fields: Vec<&str> = fields.split(' ').collect();
        let field = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok());
        let user = field(USER_TICKS).ok_or_else(unreadable)?;
        let system = field(SYSTEM_TICKS).ok_or_else(unreadable)?;
        let pages = field(RESIDENT_PAGES).ok_or_else(unreadable)?;
        Ok(Usage {
            cpu: TICK * (user + system) as u32,
            resident: pages * PAGE,
        })
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// The error of the operating system if it cannot be killed.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.process.kill().await
    }
}
