//! The cases, by name.

mod download;
mod evacuation;
mod leaving;
mod owner;

use crate::{Setting, Verdict};

pub fn run(name: &str, setting: &Setting) -> Verdict {
    match name {
        "download" => download::run(setting),
        "evacuation" => evacuation::run(setting),
        "leaving" => leaving::run(setting),
        "owner" => owner::run(setting),
        _ => Err(format!("there is no case {name}")),
    }
}
