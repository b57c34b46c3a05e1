//! Locates the program under test.

use crate::ScenarioError;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Returns the path of the `pebblepond` program next to this one. If cargo started this program,
/// `pebblepond` is built first, in the same profile.
pub fn find() -> Result<PathBuf, ScenarioError> {
    let own = std::env::current_exe().map_err(|e| format!("path of this program: {e}"))?;
    let folder = own.parent().unwrap_or(Path::new("."));
    if let Some(cargo) = std::env::var_os("CARGO") {
        build(&cargo, folder)?;
    }
    let path = folder.join("pebblepond");
    if path.is_file() {
        return Ok(path);
    }
    Err(format!(
        "{} is missing; build it, or give another program with --program",
        path.display()
    )
    .into())
}

fn build(cargo: &std::ffi::OsStr, folder: &Path) -> Result<(), ScenarioError> {
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "-p", "pebblepond"]);
    if folder.file_name().is_some_and(|n| n == "release") {
        command.arg("--release");
    }
    match command.current_dir(env!("CARGO_MANIFEST_DIR")).status() {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("building pebblepond failed with {status}").into()),
        Err(e) => Err(format!("building pebblepond failed: {e}").into()),
    }
}
