//! A `pebblepond` process and the faults that can be applied to it.

use crate::settings;
use crate::ScenarioError;
use config::settings::SETTINGS_ENV;
use rustix::process::{kill_process, Pid, Signal};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The state of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Down,
    Up,
    Frozen,
}

/// One node of the fleet, running or not.
pub struct Node {
    /// The node's number, from 1.
    pub number: u8,
    pub has_disk: bool,
    /// Whether the node has left permanently and must not be started again.
    pub is_removed: bool,
    folder: PathBuf,
    child: Option<Child>,
    state: State,
    /// Number of processes started so far; each writes its own log.
    starts: u32,
}

impl Node {
    /// Creates a node that has not been started.
    pub fn new(fleet_folder: &Path, number: u8, has_disk: bool) -> Node {
        Node {
            number,
            has_disk,
            is_removed: false,
            folder: fleet_folder.join(settings::name(number)),
            child: None,
            state: State::Down,
            starts: 0,
        }
    }

    /// Returns the node's name in the settings.
    pub fn name(&self) -> String {
        settings::name(self.number)
    }

    /// Returns the state of the node's process.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the folder of the node's disk.
    pub fn disk(&self) -> Option<PathBuf> {
        self.has_disk.then(|| self.folder.join("data"))
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join(format!("life-{}.log", self.starts))
    }

    /// Returns the log of the current or last process.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    /// Starts a process with these settings in a process group.
    pub fn start(&mut self, program: &Path, settings: &str, group: i32) -> Result<(), ScenarioError> {
        if self.child.is_some() {
            return Err(format!("{} is already running", self.name()).into());
        }
        let io_error = |e: std::io::Error| format!("{}: {e}", self.name());
        std::fs::create_dir_all(self.disk().as_ref().unwrap_or(&self.folder)).map_err(io_error)?;
        let file = self.folder.join("boot.toml");
        std::fs::write(&file, settings).map_err(io_error)?;
        self.starts += 1;
        let log = std::fs::File::create(self.log_path()).map_err(|e| format!("{}: {e}", self.name()))?;
        let child = Command::new(program)
            .args(["serve", "--counters-every", "0"])
            .env(SETTINGS_ENV, &file)
            .current_dir(&self.folder)
            .process_group(group)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        self.child = Some(child);
        self.state = State::Up;
        Ok(())
    }

    fn signal(&self, signal: Signal) -> Result<(), ScenarioError> {
        let child = self
            .child
            .as_ref()
            .ok_or(format!("{} is not running", self.name()))?;
        // The process id stays the child's until its exit status is collected.
        let pid = Pid::from_raw(child.id() as i32).ok_or("the process has no valid id")?;
        kill_process(pid, signal).map_err(|e| format!("{}: {e}", self.name()).into())
    }

    /// Suspends the process; connections to it hang.
    pub fn freeze(&mut self) -> Result<(), ScenarioError> {
        self.signal(Signal::STOP)?;
        self.state = State::Frozen;
        Ok(())
    }

    /// Resumes a frozen process.
    pub fn thaw(&mut self) -> Result<(), ScenarioError> {
        self.signal(Signal::CONT)?;
        self.state = State::Up;
        Ok(())
    }

    /// Kills the process; its disk stays.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.state = State::Down;
    }

    /// Asks the process to shut down with SIGTERM.
    pub fn terminate(&mut self) -> Result<(), ScenarioError> {
        self.signal(Signal::TERM)
    }

    /// Tells the process with SIGHUP that its settings file has changed.
    pub fn request_settings_reload(&mut self) -> Result<(), ScenarioError> {
        self.signal(Signal::HUP)
    }

    /// Returns the exit status of a process that has just ended, or `None` if there is no process or
    /// it still runs.
    pub fn exit_status(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok()??;
        self.child = None;
        self.state = State::Down;
        Some(status.to_string())
    }

    /// Empties the disk of a node whose process is down.
    pub fn wipe(&mut self) -> Result<(), ScenarioError> {
        if self.child.is_some() {
            return Err(format!("{} is running: its disk cannot be wiped", self.name()).into());
        }
        let Some(disk) = self.disk() else { return Ok(()) };
        std::fs::remove_dir_all(&disk)
            .and_then(|()| std::fs::create_dir(&disk))
            .map_err(|e| format!("{}: {e}", disk.display()).into())
    }

    /// Returns the term in which this process leads, according to its log.
    pub fn leading_term(&self) -> Option<u64> {
        if self.state == State::Down {
            return None;
        }
        leading_term(&self.log())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the term in which the node that wrote this log leads at its end.
pub fn leading_term(log: &str) -> Option<u64> {
    let mut leading_term = None;
    for line in log.lines() {
        let mut words = line.split(' ');
        let Some(event) = words.find_map(|w| w.strip_prefix("event=")) else {
            continue;
        };
        match event {
            "leads" => leading_term = words.find_map(|w| w.strip_prefix("term=")?.parse().ok()),
            "leads_no_more" => leading_term = None,
            _ => {}
        }
    }
    leading_term
}
