//! Checking files without talking to anybody.

use super::{exit, Done, Failure};
use config::{apply_modification, Configuration, Settings};
use std::path::Path;

pub fn check(settings: Option<&Path>, config: Option<&Path>, modify: Option<&Path>) -> Done {
    let mut faults = Vec::new();
    if let Some(path) = settings {
        match read(path).and_then(|bytes| String::from_utf8(bytes).map_err(|e| e.to_string())) {
            Ok(text) => faults.extend(Settings::parse(&text).err().map(|e| at(path, &e.to_string()))),
            Err(e) => faults.push(at(path, &e)),
        }
    }
    if let Some(path) = config {
        match read(path) {
            Ok(bytes) => faults.extend(
                Configuration::errors(&bytes)
                    .iter()
                    .map(|f| at(path, &f.to_string())),
            ),
            Err(e) => faults.push(at(path, &e)),
        }
    }
    if let (Some(config), Some(path)) = (config, modify) {
        let whole = read(config).and_then(|current| {
            let modification = read(path)?;
            apply_modification(&current, &modification).map_err(|e| e.to_string())
        });
        match whole {
            Ok(whole) => faults.extend(
                Configuration::errors(&whole)
                    .iter()
                    .map(|f| at(path, &f.to_string())),
            ),
            Err(e) => faults.push(at(path, &e)),
        }
    }
    if faults.is_empty() {
        return Ok(());
    }
    for fault in &faults {
        eprintln!("{fault}");
    }
    Err(Failure(exit::INVALID, format!("{} found", count(faults.len()))))
}

fn at(path: &Path, what: &str) -> String {
    format!("{}: {what}", path.display())
}

fn count(n: usize) -> String {
    if n == 1 {
        "1 fault".into()
    } else {
        format!("{n} faults")
    }
}

fn read(path: &Path) -> Result<Vec<u8>, String> {
    std::fs::read(path).map_err(|e| e.to_string())
}

/// Reads a file of changes, whose result on top of a configuration must be valid.
pub fn valid_modify(path: &Path, current: &[u8]) -> Result<(Vec<u8>, Configuration), Failure> {
    let invalid = |what: String| Failure(exit::INVALID, at(path, &what));
    let order = read(path).map_err(invalid)?;
    let whole = apply_modification(current, &order).map_err(|e| invalid(e.to_string()))?;
    let config = Configuration::parse(&whole).map_err(|f| invalid(f.to_string()))?;
    Ok((order, config))
}

/// Whether a file holds changes to named items rather than a configuration.
pub fn is_modify(path: &Path) -> bool {
    let value: Option<serde_json::Value> = read(path).ok().and_then(|b| serde_json::from_slice(&b).ok());
    value.is_some_and(|v| v.get("Upsert").is_some() || v.get("Remove").is_some())
}

/// Reads a configuration file that must be valid.
pub fn valid_config(path: &Path) -> Result<(Vec<u8>, Configuration), Failure> {
    let invalid = |what: String| Failure(exit::INVALID, at(path, &what));
    let bytes = read(path).map_err(invalid)?;
    let config =
        Configuration::parse(&bytes).map_err(|f| Failure(exit::INVALID, at(path, &f.to_string())))?;
    Ok((bytes, config))
}
