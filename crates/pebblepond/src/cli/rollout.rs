//! Rollouts of versions, as an operator steers them.

use super::call::{call, ControlResponse};
use super::{exit, CliResult, ControlArgs, Failure};
use clap::{Args, Subcommand};
use serde_json::{json, Value};

/// What can be done to rollouts.
#[derive(Subcommand)]
pub enum RolloutCommand {
    /// Show the newest rollout of each service, and what its figures come to.
    List(ControlArgs),
    /// Show one rollout with its stages, figures and records.
    Show {
        service: String,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Move a service to the workers of a new version.
    Begin {
        service: String,
        /// The version to move to.
        version: String,
        /// By when it is to be done, as in `90s`.
        #[arg(long)]
        duration: String,
        #[command(flatten)]
        author: Author,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Go on to the next stage, if the gate and the figures allow it.
    Promote(ChangeArgs),
    /// Keep the stage as it is until somebody resumes it; its term goes on.
    Pause(ChangeArgs),
    /// Go on after a pause.
    Resume(ChangeArgs),
    /// Restore the split from before.
    Rollback(ChangeArgs),
    /// Give up a rollout that has not started.
    Cancel(ChangeArgs),
    /// Restore the split from before for every active rollout.
    Panic {
        #[command(flatten)]
        author: Author,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// While it is on, no rollout starts or is promoted.
    KillSwitch {
        #[arg(value_parser = ["on", "off"])]
        to: String,
        #[command(flatten)]
        author: Author,
        #[command(flatten)]
        control: ControlArgs,
    },
}

/// Who does it, and why; both are kept as records.
#[derive(Args)]
pub struct Author {
    #[arg(long, default_value = "operator")]
    who: String,
    #[arg(long, default_value = "")]
    why: String,
}

/// A change of a rollout.
#[derive(Args)]
pub struct ChangeArgs {
    service: String,
    /// The version of the rollout that this rests on (`rollout show`); the newest
    /// if left out.
    #[arg(long, default_value_t = 0)]
    expect: u64,
    /// Pass over the gate; wants a reason of ten letters or more.
    #[arg(long, requires = "why")]
    bypass: bool,
    #[command(flatten)]
    author: Author,
    #[command(flatten)]
    control: ControlArgs,
}

/// Runs such a command.
pub fn run(command: RolloutCommand) -> CliResult {
    match command {
        RolloutCommand::List(control) => {
            let all = read(&control)?;
            print(&control, &all, list(&all));
            Ok(())
        }
        RolloutCommand::Show { service, control } => {
            let all = read(&control)?;
            let Some(one) = find(&all, &service) else {
                return Err(Failure(
                    exit::REFUSED,
                    format!("there is no rollout of {service}"),
                ));
            };
            let figures = &all["Figures"]["rollouts"][&service];
            let whole = json!({"Rollout": one, "Figures": figures});
            print(&control, &whole, show(one, figures));
            Ok(())
        }
        RolloutCommand::Begin {
            service,
            version,
            duration,
            author,
            control,
        } => {
            let body = json!({"Service": service, "TargetVersion": version, "Duration": duration,
                "Who": author.who, "Why": author.why});
            post(
                &control,
                "/rollouts/begin",
                &body,
                &format!("{service} moves to {version}"),
            )
        }
        RolloutCommand::Promote(args) => change(&args, "promote"),
        RolloutCommand::Pause(args) => change(&args, "pause"),
        RolloutCommand::Resume(args) => change(&args, "resume"),
        RolloutCommand::Rollback(args) => change(&args, "rollback"),
        RolloutCommand::Cancel(args) => change(&args, "cancel"),
        RolloutCommand::Panic { author, control } => panic_all(&author, &control),
        RolloutCommand::KillSwitch { to, author, control } => {
            let body = json!({"On": to == "on", "Who": author.who, "Why": author.why});
            post(
                &control,
                "/rollouts/kill-switch",
                &body,
                &format!("the kill switch is {to}"),
            )
        }
    }
}

fn read(control: &ControlArgs) -> Result<Value, Failure> {
    let response = call(control, "GET", "/rollouts/list", None, Vec::new())?;
    if response.status != 200 {
        return Err(Failure(exit::REFUSED, response.error()));
    }
    serde_json::from_slice(&response.body).map_err(|e| Failure(exit::REFUSED, e.to_string()))
}

fn print(control: &ControlArgs, value: &Value, text: String) {
    if control.json {
        println!("{value}");
    } else {
        print!("{text}");
    }
}

fn rows(all: &Value) -> impl Iterator<Item = &Value> {
    all["Rollouts"].as_array().into_iter().flatten()
}

fn find<'a>(all: &'a Value, service: &str) -> Option<&'a Value> {
    rows(all).find(|r| r["Service"] == service)
}

fn word(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

fn list(all: &Value) -> String {
    let mut out = format!(
        "kill switch {}  emergency level {}\n",
        if all["KillSwitch"] == true { "on" } else { "off" },
        word(&all["Figures"]["level"])
    );
    for r in rows(all) {
        let service = word(&r["Service"]);
        out += &format!(
            "{service:20} to {:10} {:12} stage {} share {:<5} version {}  {}\n",
            word(&r["TargetVersion"]),
            word(&r["Phase"]),
            word(&r["Stage"]),
            word(&r["Share"]),
            word(&r["Version"]),
            word(&all["Figures"]["rollouts"][&service]["verdict"]),
        );
    }
    out
}

fn show(r: &Value, figures: &Value) -> String {
    let mut out = format!(
        "{} to {}: {} ({})\nstage {} share {} version {} duration {} elapsed {} ms before {}\n",
        word(&r["Service"]),
        word(&r["TargetVersion"]),
        word(&r["Phase"]),
        word(&r["State"]),
        word(&r["Stage"]),
        word(&r["Share"]),
        word(&r["Version"]),
        word(&r["Duration"]),
        word(&figures["elapsed_ms"]),
        word(&r["Before"]),
    );
    if figures.is_object() {
        out += &format!("verdict {}\n", word(&figures["verdict"]));
        for side in ["old", "new"] {
            let f = &figures[side];
            out += &format!(
                "  {side}: answered {} errors {} lost {} mean {:.0} ms\n",
                word(&f["answered"]),
                word(&f["errors"]),
                word(&f["lost"]),
                f["mean_ms"].as_f64().unwrap_or(0.0)
            );
        }
    }
    for a in r["Records"].as_array().into_iter().flatten() {
        out += &format!(
            "  {:>8} ms {:9} {:10} by {}{}  {}\n",
            word(&a["elapsed_ms"]),
            word(&a["action"]),
            word(&a["target"]),
            word(&a["who"]),
            if a["bypass"] == true {
                " (gate passed over)"
            } else {
                ""
            },
            word(&a["why"]),
        );
    }
    out
}

fn refusal(response: &ControlResponse) -> Failure {
    let code = if response.status == 412 {
        exit::CONFLICT
    } else {
        exit::REFUSED
    };
    Failure(code, response.error())
}

fn post(control: &ControlArgs, path: &str, body: &Value, text: &str) -> CliResult {
    let response = call(control, "POST", path, None, body.to_string().into_bytes())?;
    if response.status != 200 {
        return Err(refusal(&response));
    }
    print(control, &json!({"done": text}), format!("{text}\n"));
    Ok(())
}

fn change(args: &ChangeArgs, action: &str) -> CliResult {
    let body = json!({"Who": args.author.who, "Why": args.author.why, "Expected": args.expect, "Bypass": args.bypass});
    let path = format!("/rollouts/{}/{action}", args.service);
    post(
        &args.control,
        &path,
        &body,
        &format!("{action}: {}", args.service),
    )
}

/// Rolls every active rollout back and says of each how that went.
fn panic_all(author: &Author, control: &ControlArgs) -> CliResult {
    let all = read(control)?;
    let active = rows(&all).filter(|r| r["State"] == "in_progress");
    let mut failed = 0;
    let mut out = Vec::new();
    for r in active {
        let service = word(&r["Service"]);
        let action = if r["Phase"] == "CREATED" {
            "cancel"
        } else {
            "rollback"
        };
        let body = json!({"Who": author.who, "Why": author.why});
        let path = format!("/rollouts/{service}/{action}");
        let text = match call(control, "POST", &path, None, body.to_string().into_bytes()) {
            Ok(response) if response.status == 200 => "restored".to_string(),
            Ok(response) => response.error(),
            Err(Failure(_, text)) => text,
        };
        failed += u32::from(text != "restored");
        out.push(json!({"service": service, "result": text}));
    }
    let lines: String = out
        .iter()
        .map(|r| format!("{}: {}\n", word(&r["service"]), word(&r["result"])))
        .collect();
    let text = if out.is_empty() {
        "no rollout is active\n".into()
    } else {
        lines
    };
    print(control, &json!({ "rollouts": out }), text);
    match failed {
        0 => Ok(()),
        n => Err(Failure(exit::REFUSED, format!("{n} rollouts were not restored"))),
    }
}

#[cfg(test)]
#[path = "rollout_tests.rs"]
mod tests;
