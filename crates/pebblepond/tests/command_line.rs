//! Pins the commands, options and exit codes of the command line (those of commit 7a4bca1).
//! `data/command-line.txt` holds the help text of every command, with the name of the program
//! replaced by `PROGRAM`.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_pebblepond");

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(arguments)
        .env_remove("PEBBLEPOND_CONFIG")
        .env("COLUMNS", "100")
        .output()
        .expect("the program runs")
}

/// Appends the help text of a command and of its subcommands to `help_texts`.
fn collect_help(path: &[&str], help_texts: &mut String) {
    let output = run(&[path, &["--help"]].concat());
    assert_eq!(output.status.code(), Some(0), "{path:?}");
    let text = String::from_utf8(output.stdout).expect("utf-8");
    let name = Path::new(PROGRAM)
        .file_name()
        .and_then(|n| n.to_str())
        .expect("the program has a file name");
    help_texts.push_str(&format!(
        "> {}\n{}\n",
        path.join(" "),
        text.replace(name, "PROGRAM")
    ));
    let commands = text.split("Commands:\n").nth(1).unwrap_or("");
    for line in commands.lines().take_while(|l| !l.is_empty()) {
        let command = line.split_whitespace().next().unwrap_or("help");
        if command != "help" && line.starts_with("  ") && !line.starts_with("   ") {
            collect_help(&[path, &[command]].concat(), help_texts);
        }
    }
}

#[test]
fn help_texts_match_the_recorded_ones() {
    let mut help_texts = String::new();
    collect_help(&[], &mut help_texts);
    if help_texts != include_str!("data/command-line.txt") {
        let path = std::env::temp_dir().join("command-line.txt");
        std::fs::write(&path, &help_texts).expect("written");
        panic!(
            "the help texts differ from data/command-line.txt; current texts: {}",
            path.display()
        );
    }
}

fn data_path(name: &str) -> String {
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "data", name]
        .iter()
        .collect();
    path.to_str().expect("utf-8").to_string()
}

#[test]
fn exit_codes_are_unchanged() {
    let (settings, not_toml) = (data_path("settings.toml"), data_path("headers.txt"));
    let shop = format!("{}/../../docs/example/shop.json", env!("CARGO_MANIFEST_DIR"));
    let unreachable = "127.0.0.1:1";
    for (arguments, code) in [
        (vec!["--version"], 0),
        (vec![], 2),
        (vec!["dance"], 2),
        (vec!["check"], 2),
        (vec!["status"], 2),
        (vec!["serve"], 3),
        (vec!["serve", "--log-level", "loud"], 2),
        (vec!["check", "--settings", &settings], 0),
        (vec!["check", "--settings", &not_toml], 3),
        (vec!["check", "--settings", "/nowhere"], 3),
        (vec!["check", "--config", &shop], 0),
        (vec!["check", "--config", &settings], 3),
        (vec!["check", "--modify", &shop], 2),
        (vec!["config", "put", &settings, "--control", unreachable], 3),
        (vec!["config", "get", "--control", unreachable], 4),
        (
            vec!["config", "put", &shop, "--base", "0", "--control", unreachable],
            4,
        ),
        (vec!["evacuate", "begin", "z", "--control", unreachable], 4),
        (vec!["keys", "list", "--control", unreachable], 4),
        (vec!["status", "--control", unreachable], 4),
        (vec!["status", "--control", "nobody"], 2),
    ] {
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {output:?}");
    }
}
