//! Commands, options and exit codes of the command line stay as they were (commit 7a4bca1).
//! `data/command-line.txt` holds the help of every command; the program's own name is left out.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_pebblepond");

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(arguments)
        .env_remove("PEBBLEPOND_CONFIG")
        .env("COLUMNS", "100")
        .output()
        .expect("runs")
}

/// The help of a command and of those below it.
fn help(path: &[&str], all: &mut String) {
    let output = run(&[path, &["--help"]].concat());
    assert_eq!(output.status.code(), Some(0), "{path:?}");
    let text = String::from_utf8(output.stdout).expect("utf-8");
    let name = Path::new(PROGRAM)
        .file_name()
        .and_then(|n| n.to_str())
        .expect("a name");
    all.push_str(&format!(
        "> {}\n{}\n",
        path.join(" "),
        text.replace(name, "PROGRAM")
    ));
    let commands = text.split("Commands:\n").nth(1).unwrap_or("");
    for line in commands.lines().take_while(|l| !l.is_empty()) {
        let command = line.split_whitespace().next().unwrap_or("help");
        if command != "help" && line.starts_with("  ") && !line.starts_with("   ") {
            help(&[path, &[command]].concat(), all);
        }
    }
}

#[test]
fn commands_and_options_stay_as_they_were() {
    let mut all = String::new();
    help(&[], &mut all);
    if all != include_str!("data/command-line.txt") {
        let path = std::env::temp_dir().join("command-line.txt");
        std::fs::write(&path, &all).expect("written");
        panic!("the command line has changed; as it is now: {}", path.display());
    }
}

fn data(name: &str) -> String {
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "data", name]
        .iter()
        .collect();
    path.to_str().expect("utf-8").to_string()
}

#[test]
fn exit_codes_stay_as_they_were() {
    let (settings, broken) = (data("settings.toml"), data("headers.txt"));
    let shop = format!("{}/../../docs/example/shop.json", env!("CARGO_MANIFEST_DIR"));
    let nobody = "127.0.0.1:1";
    for (arguments, code) in [
        (vec!["--version"], 0),
        (vec![], 2),
        (vec!["dance"], 2),
        (vec!["check"], 2),
        (vec!["status"], 2),
        (vec!["serve"], 3),
        (vec!["serve", "--log-level", "loud"], 2),
        (vec!["check", "--settings", &settings], 0),
        (vec!["check", "--settings", &broken], 3),
        (vec!["check", "--settings", "/nowhere"], 3),
        (vec!["check", "--config", &shop], 0),
        (vec!["check", "--config", &settings], 3),
        (vec!["check", "--modify", &shop], 2),
        (vec!["config", "put", &settings, "--control", nobody], 3),
        (vec!["config", "get", "--control", nobody], 4),
        (
            vec!["config", "put", &shop, "--base", "0", "--control", nobody],
            4,
        ),
        (vec!["evacuate", "begin", "z", "--control", nobody], 4),
        (vec!["keys", "list", "--control", nobody], 4),
        (vec!["status", "--control", nobody], 4),
        (vec!["status", "--control", "nobody"], 2),
    ] {
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {output:?}");
    }
}
