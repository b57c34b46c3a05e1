//! One `pebblepond` process, and what may befall it.

use crate::settings;
use crate::ScenarioError;
use config::settings::SETTINGS_ENV;
use rustix::process::{kill_process, Pid, Signal};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// What a node's process does at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Down,
    Up,
    Frozen,
}

/// One process of the fleet, running or not.
pub struct Node {
    /// Its number, from 1.
    pub number: u8,
    pub has_disk: bool,
    /// Gone for good: never started again.
    pub removed: bool,
    folder: PathBuf,
    child: Option<Child>,
    state: State,
    /// Processes started so far; each writes a log of its own.
    lives: u32,
}

impl Node {
    /// A node that has not been started.
    pub fn new(fleet: &Path, number: u8, has_disk: bool) -> Node {
        Node {
            number,
            has_disk,
            removed: false,
            folder: fleet.join(settings::name(number)),
            child: None,
            state: State::Down,
            lives: 0,
        }
    }

    /// Its name in the settings.
    pub fn name(&self) -> String {
        settings::name(self.number)
    }

    /// Whether it runs.
    pub fn state(&self) -> State {
        self.state
    }

    /// The folder of its disk.
    pub fn disk(&self) -> Option<PathBuf> {
        self.has_disk.then(|| self.folder.join("data"))
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join(format!("life-{}.log", self.lives))
    }

    /// What its present or last process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    /// Starts a process with these settings, in a process group.
    pub fn start(&mut self, program: &Path, settings: &str, group: i32) -> Result<(), ScenarioError> {
        if self.child.is_some() {
            return Err(format!("{} runs already", self.name()).into());
        }
        let failed = |e: std::io::Error| format!("{}: {e}", self.name());
        std::fs::create_dir_all(self.disk().as_ref().unwrap_or(&self.folder)).map_err(failed)?;
        let file = self.folder.join("boot.toml");
        std::fs::write(&file, settings).map_err(failed)?;
        self.lives += 1;
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
            .ok_or(format!("{} does not run", self.name()))?;
        // The number is the child's as long as nobody has waited for it.
        let pid = Pid::from_raw(child.id() as i32).ok_or("a process without a number")?;
        kill_process(pid, signal).map_err(|e| format!("{}: {e}", self.name()).into())
    }

    /// Stops the process where it stands; connections to it hang.
    pub fn freeze(&mut self) -> Result<(), ScenarioError> {
        self.signal(Signal::STOP)?;
        self.state = State::Frozen;
        Ok(())
    }

    /// Lets a frozen process go on.
    pub fn thaw(&mut self) -> Result<(), ScenarioError> {
        self.signal(Signal::CONT)?;
        self.state = State::Up;
        Ok(())
    }

    /// Ends the process at once; its disk stays.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.state = State::Down;
    }

    /// Asks the process to end in order.
    pub fn terminate(&mut self) -> Result<(), ScenarioError> {
        self.signal(Signal::TERM)
    }

    /// Tells the process that its settings file has changed.
    pub fn hang_up(&mut self) -> Result<(), ScenarioError> {
        self.signal(Signal::HUP)
    }

    /// Whether the process has ended; `None` as long as it runs.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok()??;
        self.child = None;
        self.state = State::Down;
        Some(status.to_string())
    }

    /// Empties the disk of a process that is down.
    pub fn wipe(&mut self) -> Result<(), ScenarioError> {
        if self.child.is_some() {
            return Err(format!("{} runs: its disk cannot be lost", self.name()).into());
        }
        let Some(disk) = self.disk() else { return Ok(()) };
        std::fs::remove_dir_all(&disk)
            .and_then(|()| std::fs::create_dir(&disk))
            .map_err(|e| format!("{}: {e}", disk.display()).into())
    }

    /// The term in which this process leads, by its log.
    pub fn leads_in(&self) -> Option<u64> {
        if self.state == State::Down {
            return None;
        }
        leads_in(&self.log())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The term in which the writer of a log leads at its end.
pub fn leads_in(log: &str) -> Option<u64> {
    let mut leads = None;
    for line in log.lines() {
        let mut words = line.split(' ');
        let Some(event) = words.find_map(|w| w.strip_prefix("event=")) else {
            continue;
        };
        match event {
            "leads" => leads = words.find_map(|w| w.strip_prefix("term=")?.parse().ok()),
            "leads_no_more" => leads = None,
            _ => {}
        }
    }
    leads
}
