//! Commands with which an operator controls rollouts of new versions.

use super::call::{call, ControlResponse};
use super::{exit, CliResult, ControlArgs, Failure};
use clap::{Args, Subcommand};
use serde_json::{json, Value};

/// Subcommands of `rollout`.
#[derive(Subcommand)]
pub enum RolloutCommand {
    /// Show the latest rollout of each service and its verdict.
    List(ControlArgs),
    /// Show one rollout with its stage, metrics and records.
    Show {
        service: String,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Begin to roll a service out to a new version.
    Begin {
        service: String,
        /// The target version.
        version: String,
        /// Time within which the rollout must complete, for example `90s`.
        #[arg(long)]
        duration: String,
        #[command(flatten)]
        author: Author,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Advance to the next stage, if the gate and the metrics allow it.
    Promote(ChangeArgs),
    /// Keep the current stage until the rollout is resumed; its duration keeps running.
    Pause(ChangeArgs),
    /// Continue a paused rollout.
    Resume(ChangeArgs),
    /// Restore the traffic split from before the rollout.
    Rollback(ChangeArgs),
    /// Cancel a rollout that has not started.
    Cancel(ChangeArgs),
    /// Roll back every active rollout; cancel those that have not started.
    Panic {
        #[command(flatten)]
        author: Author,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Turn the kill switch on or off; while it is on, no rollout starts or is promoted.
    KillSwitch {
        #[arg(value_parser = ["on", "off"])]
        to: String,
        #[command(flatten)]
        author: Author,
        #[command(flatten)]
        control: ControlArgs,
    },
}

/// Author of a change and the reason for it; both are kept in the records of the rollout.
#[derive(Args)]
pub struct Author {
    #[arg(long, default_value = "operator")]
    who: String,
    #[arg(long, default_value = "")]
    why: String,
}

/// Arguments of a command that changes a rollout.
#[derive(Args)]
pub struct ChangeArgs {
    service: String,
    /// Version of the rollout that the change is based on (see `rollout show`); the latest if
    /// omitted.
    #[arg(long, default_value_t = 0)]
    expect: u64,
    /// Bypass the gate; requires a reason of at least ten characters.
    #[arg(long, requires = "why")]
    bypass: bool,
    #[command(flatten)]
    author: Author,
    #[command(flatten)]
    control: ControlArgs,
}

/// Runs a `rollout` subcommand.
pub fn run(command: RolloutCommand) -> CliResult {
    match command {
        RolloutCommand::List(control) => {
            let listing = read(&control)?;
            print(&control, &listing, list(&listing));
            Ok(())
        }
        RolloutCommand::Show { service, control } => {
            let listing = read(&control)?;
            let Some(rollout) = find(&listing, &service) else {
                return Err(Failure(
                    exit::REFUSED,
                    format!("there is no rollout of {service}"),
                ));
            };
            let figures = &listing["Figures"]["rollouts"][&service];
            let details = json!({"Rollout": rollout, "Figures": figures});
            print(&control, &details, show(rollout, figures));
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
        RolloutCommand::Panic { author, control } => roll_back_all(&author, &control),
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

fn rows(listing: &Value) -> impl Iterator<Item = &Value> {
    listing["Rollouts"].as_array().into_iter().flatten()
}

fn find<'a>(listing: &'a Value, service: &str) -> Option<&'a Value> {
    rows(listing).find(|r| r["Service"] == service)
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

fn list(listing: &Value) -> String {
    let mut output = format!(
        "kill switch {}  emergency level {}\n",
        if listing["KillSwitch"] == true {
            "on"
        } else {
            "off"
        },
        plain_text(&listing["Figures"]["level"])
    );
    for r in rows(listing) {
        let service = plain_text(&r["Service"]);
        output += &format!(
            "{service:20} to {:10} {:12} stage {} share {:<5} version {}  {}\n",
            plain_text(&r["TargetVersion"]),
            plain_text(&r["Phase"]),
            plain_text(&r["Stage"]),
            plain_text(&r["Share"]),
            plain_text(&r["Version"]),
            plain_text(&listing["Figures"]["rollouts"][&service]["verdict"]),
        );
    }
    output
}

fn show(r: &Value, figures: &Value) -> String {
    let mut output = format!(
        "{} to {}: {} ({})\nstage {} share {} version {} duration {} elapsed {} ms before {}\n",
        plain_text(&r["Service"]),
        plain_text(&r["TargetVersion"]),
        plain_text(&r["Phase"]),
        plain_text(&r["State"]),
        plain_text(&r["Stage"]),
        plain_text(&r["Share"]),
        plain_text(&r["Version"]),
        plain_text(&r["Duration"]),
        plain_text(&figures["elapsed_ms"]),
        plain_text(&r["Before"]),
    );
    if figures.is_object() {
        output += &format!("verdict {}\n", plain_text(&figures["verdict"]));
        for side in ["old", "new"] {
            let cohort = &figures[side];
            output += &format!(
                "  {side}: answered {} errors {} lost {} mean {:.0} ms\n",
                plain_text(&cohort["answered"]),
                plain_text(&cohort["errors"]),
                plain_text(&cohort["lost"]),
                cohort["mean_ms"].as_f64().unwrap_or(0.0)
            );
        }
    }
    for record in r["Records"].as_array().into_iter().flatten() {
        output += &format!(
            "  {:>8} ms {:9} {:10} by {}{}  {}\n",
            plain_text(&record["elapsed_ms"]),
            plain_text(&record["action"]),
            plain_text(&record["target"]),
            plain_text(&record["who"]),
            if record["bypass"] == true {
                " (gate passed over)"
            } else {
                ""
            },
            plain_text(&record["why"]),
        );
    }
    output
}

fn rejection(response: &ControlResponse) -> Failure {
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
        return Err(rejection(&response));
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

/// Rolls back or cancels every active rollout and prints the result of each.
fn roll_back_all(author: &Author, control: &ControlArgs) -> CliResult {
    let listing = read(control)?;
    let active = rows(&listing).filter(|r| r["State"] == "in_progress");
    let mut failed = 0;
    let mut results = Vec::new();
    for r in active {
        let service = plain_text(&r["Service"]);
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
        results.push(json!({"service": service, "result": text}));
    }
    let lines: String = results
        .iter()
        .map(|r| format!("{}: {}\n", plain_text(&r["service"]), plain_text(&r["result"])))
        .collect();
    let text = if results.is_empty() {
        "no rollout is active\n".into()
    } else {
        lines
    };
    print(control, &json!({ "rollouts": results }), text);
    match failed {
        0 => Ok(()),
        n => Err(Failure(exit::REFUSED, format!("{n} rollouts were not restored"))),
    }
}

#[cfg(test)]
#[path = "rollout_tests.rs"]
mod tests;
