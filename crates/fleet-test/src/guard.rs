//! Cleans up after a run: a watcher process that outlives this one ends the fleet and removes its
//! folder as soon as this process is gone, for whatever reason.
//!
//! All nodes are in one process group, which a sleeping process keeps in existence. The watcher
//! waits for the end of a pipe that only this process holds open, and then kills the group by its
//! number. The number cannot have been reused in the meantime.

use crate::ScenarioError;
use rand::Rng;
use std::io::Write as _;
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Longest lifetime of a fleet, in seconds; the process that holds the group ends after it.
const MAX_LIFETIME_S: &str = "86400";
/// Script of the watcher; `$1` is the folder, `$2` the process group.
const SCRIPT: &str = r#"
trap '' INT TERM HUP
keep=
while read -r word; do [ "$word" = keep ] && keep=1; done
kill -s KILL -- "-$2"
[ -n "$keep" ] && exit 0
for pause in 0 0.1 0.5 1; do
    sleep $pause
    rm -rf -- "$1" 2>/dev/null && exit 0
done
"#;

/// Ends all processes of the fleet when the process that started it is gone.
pub struct Guard {
    folder: PathBuf,
    group_holder: Child,
    watcher: Child,
}

impl Guard {
    /// Creates the fleet's folder and starts the watcher.
    pub fn start() -> Result<Guard, ScenarioError> {
        let name = format!("fleet-test-{:x}", rand::thread_rng().gen::<u64>());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let spawn_detached = |command: &mut Command| -> std::io::Result<Child> {
            command
                .process_group(0)
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
        };
        let group_holder = spawn_detached(Command::new("sleep").arg(MAX_LIFETIME_S).stdin(Stdio::null()))
            .map_err(|e| format!("cannot start the process that holds the fleet's process group: {e}"))?;
        let group = group_holder.id().to_string();
        let watcher = spawn_detached(
            Command::new("/bin/sh")
                .args(["-c", SCRIPT, "fleet-test-guard"])
                .arg(&folder)
                .arg(&group)
                .stdin(Stdio::piped()),
        );
        match watcher {
            Ok(watcher) => Ok(Guard {
                folder,
                group_holder,
                watcher,
            }),
            Err(e) => {
                let mut group_holder = group_holder;
                let _ = group_holder.kill();
                let _ = group_holder.wait();
                let _ = std::fs::remove_dir(&folder);
                Err(format!("cannot start the fleet's watcher: {e}").into())
            }
        }
    }

    /// Returns the fleet's folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the process group for the nodes.
    pub fn group(&self) -> i32 {
        self.group_holder.id() as i32
    }

    /// Keeps the folder when the fleet ends.
    pub fn keep(&mut self) {
        if let Some(pipe) = &mut self.watcher.stdin {
            let _ = pipe.write_all(b"keep\n");
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        drop(self.watcher.stdin.take());
        let _ = self.watcher.wait();
        let _ = self.group_holder.wait();
    }
}
