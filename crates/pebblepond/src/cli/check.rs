//! Checks files without calling a node.

use super::{exit, CliResult, Failure};
use config::{apply_modification, Configuration, ConfigurationError, Settings, SettingsError};
use std::path::Path;

/// Error found in a file.
#[derive(Debug, thiserror::Error)]
enum FileError {
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    /// The file is not valid UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] std::string::FromUtf8Error),
    /// The settings in the file are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The configuration or the modification in the file is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
}

/// Checks files and prints all errors found in them.
pub fn check(settings: Option<&Path>, config: Option<&Path>, modify: Option<&Path>) -> CliResult {
    let mut findings = Vec::new();
    let mut add = |path: &Path, errors: Vec<FileError>| {
        findings.extend(errors.iter().map(|error| describe(path, error)));
    };
    if let Some(path) = settings {
        add(path, check_settings(path).err().into_iter().collect());
    }
    if let Some(path) = config {
        add(path, configuration_errors(read_file(path)));
    }
    if let (Some(config), Some(path)) = (config, modify) {
        add(path, configuration_errors(read_modified(config, path)));
    }
    if findings.is_empty() {
        return Ok(());
    }
    for finding in &findings {
        eprintln!("{finding}");
    }
    Err(Failure(
        exit::INVALID,
        format!("{} found", fault_count(findings.len())),
    ))
}

fn check_settings(path: &Path) -> Result<Settings, FileError> {
    let text = String::from_utf8(read_file(path)?)?;
    Ok(Settings::parse(&text)?)
}

/// Reads a configuration file and applies the modification of another file to it.
fn read_modified(config: &Path, modification: &Path) -> Result<Vec<u8>, FileError> {
    let current = read_file(config)?;
    Ok(apply_modification(&current, &read_file(modification)?)?)
}

/// Returns all errors of a configuration.
fn configuration_errors(bytes: Result<Vec<u8>, FileError>) -> Vec<FileError> {
    match bytes {
        Ok(bytes) => {
            let errors = Configuration::errors(&bytes).into_iter();
            errors.map(FileError::from).collect()
        }
        Err(error) => vec![error],
    }
}

fn describe(path: &Path, error: &FileError) -> String {
    format!("{}: {error}", path.display())
}

fn fault_count(n: usize) -> String {
    if n == 1 {
        "1 fault".into()
    } else {
        format!("{n} faults")
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>, FileError> {
    Ok(std::fs::read(path)?)
}

fn invalid_file(path: &Path, error: impl Into<FileError>) -> Failure {
    Failure(exit::INVALID, describe(path, &error.into()))
}

/// Reads a modification file and applies it to `current`. Returns the modification and the
/// resulting configuration, which must be valid.
pub fn read_valid_modification(path: &Path, current: &[u8]) -> Result<(Vec<u8>, Configuration), Failure> {
    let modification = read_file(path).map_err(|e| invalid_file(path, e))?;
    let modified = apply_modification(current, &modification).map_err(|e| invalid_file(path, e))?;
    let config = Configuration::parse(&modified).map_err(|e| invalid_file(path, e))?;
    Ok((modification, config))
}

/// Returns whether a file holds a modification of named items rather than a configuration.
pub fn is_modification(path: &Path) -> bool {
    let value: Option<serde_json::Value> = read_file(path).ok().and_then(|b| serde_json::from_slice(&b).ok());
    value.is_some_and(|v| v.get("Upsert").is_some() || v.get("Remove").is_some())
}

/// Reads a configuration file, which must be valid.
pub fn read_valid_configuration(path: &Path) -> Result<(Vec<u8>, Configuration), Failure> {
    let bytes = read_file(path).map_err(|e| invalid_file(path, e))?;
    let config = Configuration::parse(&bytes).map_err(|e| invalid_file(path, e))?;
    Ok((bytes, config))
}
