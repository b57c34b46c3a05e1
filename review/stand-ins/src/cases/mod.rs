//! The cases, by name.

mod download;
mod evacuation;
mod leaving;
mod owner;
mod pages;

use crate::{Setting, Verdict};

pub fn run(name: &str, setting: &Setting) -> Verdict {
    match name {
        "download" => download::run(setting),
        "evacuation" => evacuation::run(setting),
        "leaving" => leaving::run(setting),
        "owner" => owner::run(setting),
        "pages" => pages::run(setting),
        _ => Err(format!("there is no case {name}")),
    }
}
