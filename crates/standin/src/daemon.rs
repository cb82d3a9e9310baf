//! Daemon processes under test, each with its own settings file.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use serde::Serialize;
use tokio::process::{Child, Command};

use crate::endpoint::free_address;

/// Key shared by all daemons of a run.
const SHARED_KEY: &str = "key-of-the-stand-in-run-0000000000000000";

/// Field indexes in `/proc/PID/stat`, counted after the program name.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;
const RESIDENT_PAGES_FIELD: usize = 21;
/// Unit of CPU time in `/proc/PID/stat`.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Size of a memory page, the unit of resident memory in `/proc/PID/stat`.
const PAGE_BYTES: u64 = 4096;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time since the start.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

/// Content of the settings file of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Settings {
    /// Name of the VM.
    pub vm: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address for calls and control between daemons.
    pub peer_address: SocketAddr,
    /// Address for gossip, UDP.
    pub gossip_address: SocketAddr,
    /// Address that operators connect to.
    pub operator_address: SocketAddr,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Keys shared by daemons and operators.
    pub keys: Vec<String>,
    /// Peer addresses of the first daemon of each data centre.
    pub contacts: Vec<SocketAddr>,
}

impl Settings {
    /// Creates settings with free loopback addresses and no contacts.
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
            keys: vec![SHARED_KEY.to_owned()],
            contacts: Vec::new(),
        })
    }
}

/// Sets the first daemon of each data centre as a contact of all daemons.
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
    /// Writes the settings into `directory` and starts the binary, with its output in a log there.
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

    /// Path of the file with the output of the daemon.
    #[must_use]
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// Reads the resource usage of the process.
    ///
    /// # Errors
    ///
    /// An error if the process has exited or its statistics cannot be read.
    pub fn usage(&self) -> io::Result<Usage> {
        let unreadable = || io::Error::other("cannot read the process statistics");
        let id = self.process.id().ok_or_else(unreadable)?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
        // The program name, in parentheses, may contain spaces.
        let (_, fields) = stat.rsplit_once(") ").ok_or_else(unreadable)?;
        let fields: Vec<&str> = fields.split(' ').collect();
        let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
        let user = field(USER_TICKS_FIELD).ok_or_else(unreadable)?;
        let system = field(SYSTEM_TICKS_FIELD).ok_or_else(unreadable)?;
        let pages = field(RESIDENT_PAGES_FIELD).ok_or_else(unreadable)?;
        Ok(Usage {
            cpu: CLOCK_TICK * (user + system) as u32,
            resident: pages * PAGE_BYTES,
        })
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// The error of the operating system if it cannot be killed.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.process.kill().await
    }
}
