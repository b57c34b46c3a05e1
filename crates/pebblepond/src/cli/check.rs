//! Checking files without talking to anybody.

use super::{exit, CliResult, Failure};
use config::{apply_modification, Configuration, ConfigurationError, Settings, SettingsError};
use std::path::Path;

/// What is wrong with a file.
#[derive(Debug, thiserror::Error)]
enum FileError {
    /// It cannot be read.
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    /// It is no text.
    #[error(transparent)]
    NotUtf8(#[from] std::string::FromUtf8Error),
    /// The settings in it are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The configuration or the modification in it is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
}

/// Checks files and prints all that is wrong with them.
pub fn check(settings: Option<&Path>, config: Option<&Path>, modify: Option<&Path>) -> CliResult {
    let mut findings = Vec::new();
    let mut add = |path: &Path, errors: Vec<FileError>| {
        findings.extend(errors.iter().map(|error| at(path, error)));
    };
    if let Some(path) = settings {
        add(path, check_settings(path).err().into_iter().collect());
    }
    if let Some(path) = config {
        add(path, configuration_errors(read(path)));
    }
    if let (Some(config), Some(path)) = (config, modify) {
        add(path, configuration_errors(modified(config, path)));
    }
    if findings.is_empty() {
        return Ok(());
    }
    for finding in &findings {
        eprintln!("{finding}");
    }
    Err(Failure(exit::INVALID, format!("{} found", count(findings.len()))))
}

fn check_settings(path: &Path) -> Result<Settings, FileError> {
    let text = String::from_utf8(read(path)?)?;
    Ok(Settings::parse(&text)?)
}

/// A configuration with the changes of a file.
fn modified(config: &Path, modification: &Path) -> Result<Vec<u8>, FileError> {
    let current = read(config)?;
    Ok(apply_modification(&current, &read(modification)?)?)
}

/// All that is wrong with a configuration.
fn configuration_errors(bytes: Result<Vec<u8>, FileError>) -> Vec<FileError> {
    match bytes {
        Ok(bytes) => {
            let errors = Configuration::errors(&bytes).into_iter();
            errors.map(FileError::from).collect()
        }
        Err(error) => vec![error],
    }
}

fn at(path: &Path, error: &FileError) -> String {
    format!("{}: {error}", path.display())
}

fn count(n: usize) -> String {
    if n == 1 {
        "1 fault".into()
    } else {
        format!("{n} faults")
    }
}

fn read(path: &Path) -> Result<Vec<u8>, FileError> {
    Ok(std::fs::read(path)?)
}

fn invalid(path: &Path, error: impl Into<FileError>) -> Failure {
    Failure(exit::INVALID, at(path, &error.into()))
}

/// Reads a file of changes, whose result on top of a configuration must be valid.
pub fn valid_modify(path: &Path, current: &[u8]) -> Result<(Vec<u8>, Configuration), Failure> {
    let modification = read(path).map_err(|e| invalid(path, e))?;
    let modified = apply_modification(current, &modification).map_err(|e| invalid(path, e))?;
    let config = Configuration::parse(&modified).map_err(|e| invalid(path, e))?;
    Ok((modification, config))
}

/// Whether a file holds changes to named items rather than a configuration.
pub fn is_modify(path: &Path) -> bool {
    let value: Option<serde_json::Value> = read(path).ok().and_then(|b| serde_json::from_slice(&b).ok());
    value.is_some_and(|v| v.get("Upsert").is_some() || v.get("Remove").is_some())
}

/// Reads a configuration file that must be valid.
pub fn valid_config(path: &Path) -> Result<(Vec<u8>, Configuration), Failure> {
    let bytes = read(path).map_err(|e| invalid(path, e))?;
    let config = Configuration::parse(&bytes).map_err(|e| invalid(path, e))?;
    Ok((bytes, config))
}
