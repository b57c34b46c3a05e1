//! Where the program under test is.

use crate::ScenarioError;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The `pebblepond` beside this program, brought up to date by cargo in the same
/// profile if cargo started this program.
pub fn find() -> Result<PathBuf, ScenarioError> {
    let own = std::env::current_exe().map_err(|e| format!("own path: {e}"))?;
    let folder = own.parent().unwrap_or(Path::new("."));
    if let Some(cargo) = std::env::var_os("CARGO") {
        build(&cargo, folder)?;
    }
    let path = folder.join("pebblepond");
    if path.is_file() {
        return Ok(path);
    }
    Err(format!(
        "{} is missing; build it, or name another with --program",
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
        Ok(status) => Err(format!("building pebblepond ended with {status}").into()),
        Err(e) => Err(format!("building pebblepond: {e}").into()),
    }
}
