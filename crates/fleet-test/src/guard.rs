//! Nothing stays behind: a process that outlives this one ends the fleet and
//! removes its folder as soon as this one is gone, however it went.
//!
//! All nodes are in one process group, held open by a process that sleeps. The
//! guard waits for the end of a pipe that only this process holds, and then ends
//! that group by its number, which cannot have been given to others meanwhile.

use crate::ScenarioError;
use rand::Rng;
use std::io::Write as _;
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Longest life of a fleet, seconds: its holder ends by itself after it.
const LONGEST_S: &str = "86400";
/// What the guard does; `$1` is the folder, `$2` the process group.
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

/// Ends all that was started when its starter is gone.
pub struct Guard {
    folder: PathBuf,
    holder: Child,
    watch: Child,
}

impl Guard {
    /// Makes the fleet's folder and watches over it.
    pub fn set() -> Result<Guard, ScenarioError> {
        let name = format!("fleet-test-{:x}", rand::thread_rng().gen::<u64>());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let quiet = |command: &mut Command| -> std::io::Result<Child> {
            command
                .process_group(0)
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
        };
        let holder = quiet(Command::new("sleep").arg(LONGEST_S).stdin(Stdio::null()))
            .map_err(|e| format!("the fleet's process group: {e}"))?;
        let group = holder.id().to_string();
        let watch = quiet(
            Command::new("/bin/sh")
                .args(["-c", SCRIPT, "fleet-test-guard"])
                .arg(&folder)
                .arg(&group)
                .stdin(Stdio::piped()),
        );
        match watch {
            Ok(watch) => Ok(Guard {
                folder,
                holder,
                watch,
            }),
            Err(e) => {
                let mut holder = holder;
                let _ = holder.kill();
                let _ = holder.wait();
                let _ = std::fs::remove_dir(&folder);
                Err(format!("the fleet's guard: {e}").into())
            }
        }
    }

    /// Folder that goes with the guard.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The process group that nodes are to be in.
    pub fn group(&self) -> i32 {
        self.holder.id() as i32
    }

    /// Leaves the folder where it is.
    pub fn keep(&mut self) {
        if let Some(pipe) = &mut self.watch.stdin {
            let _ = pipe.write_all(b"keep\n");
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        drop(self.watch.stdin.take());
        let _ = self.watch.wait();
        let _ = self.holder.wait();
    }
}
