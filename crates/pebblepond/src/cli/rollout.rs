//! Rollouts of versions, as an operator steers them.

use super::call::{call, Answered};
use super::{exit, ControlArgs, Done, Failure};
use clap::{Args, Subcommand};
use serde_json::{json, Value};

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
        said: Said,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Go on to the next stage, if the gate and the figures allow it.
    Promote(Steer),
    /// Keep the stage as it is until somebody resumes it; its term goes on.
    Pause(Steer),
    /// Go on after a pause.
    Resume(Steer),
    /// Restore the split from before.
    Rollback(Steer),
    /// Give up a rollout that has not started.
    Cancel(Steer),
    /// Restore the split from before for every active rollout.
    Panic {
        #[command(flatten)]
        said: Said,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// While it is on, no rollout starts or is promoted.
    KillSwitch {
        #[arg(value_parser = ["on", "off"])]
        to: String,
        #[command(flatten)]
        said: Said,
        #[command(flatten)]
        control: ControlArgs,
    },
}

/// Who does it, and why; both are kept as records.
#[derive(Args)]
pub struct Said {
    #[arg(long, default_value = "operator")]
    who: String,
    #[arg(long, default_value = "")]
    why: String,
}

#[derive(Args)]
pub struct Steer {
    service: String,
    /// The version of the rollout that this rests on (`rollout show`); the newest
    /// if left out.
    #[arg(long, default_value_t = 0)]
    expect: u64,
    /// Pass over the gate; wants a reason of ten letters or more.
    #[arg(long, requires = "why")]
    bypass: bool,
    #[command(flatten)]
    said: Said,
    #[command(flatten)]
    control: ControlArgs,
}

pub fn run(command: RolloutCommand) -> Done {
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
            said,
            control,
        } => {
            let body = json!({"Service": service, "TargetVersion": version, "Duration": duration,
                "Who": said.who, "Why": said.why});
            done(
                &control,
                "/rollouts/begin",
                &body,
                &format!("{service} moves to {version}"),
            )
        }
        RolloutCommand::Promote(s) => steer(&s, "promote"),
        RolloutCommand::Pause(s) => steer(&s, "pause"),
        RolloutCommand::Resume(s) => steer(&s, "resume"),
        RolloutCommand::Rollback(s) => steer(&s, "rollback"),
        RolloutCommand::Cancel(s) => steer(&s, "cancel"),
        RolloutCommand::Panic { said, control } => panic_all(&said, &control),
        RolloutCommand::KillSwitch { to, said, control } => {
            let body = json!({"On": to == "on", "Who": said.who, "Why": said.why});
            done(
                &control,
                "/rollouts/kill-switch",
                &body,
                &format!("the kill switch is {to}"),
            )
        }
    }
}

fn read(control: &ControlArgs) -> Result<Value, Failure> {
    let answered = call(control, "GET", "/rollouts/list", None, Vec::new())?;
    if answered.status != 200 {
        return Err(Failure(exit::REFUSED, answered.error()));
    }
    serde_json::from_slice(&answered.body).map_err(|e| Failure(exit::REFUSED, e.to_string()))
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

fn refusal(answered: &Answered) -> Failure {
    let code = if answered.status == 412 {
        exit::CONFLICT
    } else {
        exit::REFUSED
    };
    Failure(code, answered.error())
}

fn done(control: &ControlArgs, path: &str, body: &Value, text: &str) -> Done {
    let answered = call(control, "POST", path, None, body.to_string().into_bytes())?;
    if answered.status != 200 {
        return Err(refusal(&answered));
    }
    print(control, &json!({"done": text}), format!("{text}\n"));
    Ok(())
}

fn steer(s: &Steer, action: &str) -> Done {
    let body = json!({"Who": s.said.who, "Why": s.said.why, "Expected": s.expect, "Bypass": s.bypass});
    let path = format!("/rollouts/{}/{action}", s.service);
    done(&s.control, &path, &body, &format!("{action}: {}", s.service))
}

/// Rolls every active rollout back and says of each how that went.
fn panic_all(said: &Said, control: &ControlArgs) -> Done {
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
        let body = json!({"Who": said.who, "Why": said.why});
        let path = format!("/rollouts/{service}/{action}");
        let text = match call(control, "POST", &path, None, body.to_string().into_bytes()) {
            Ok(answered) if answered.status == 200 => "restored".to_string(),
            Ok(answered) => answered.error(),
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
mod tests {
    use super::*;

    #[test]
    fn shows_states_figures_and_records() {
        let all = json!({"KillSwitch": true, "Figures": {"level": 1, "rollouts": {"s": {"verdict": "good",
            "old": {"answered": 9.0}, "new": {"answered": 3.0, "mean_ms": 12.4}}}},
            "Rollouts": [{"Service": "s", "TargetVersion": "v2", "Phase": "CANARY", "Stage": 0, "Share": 0.08,
                "Version": 7, "Records": [{"action": "rollback", "who": "me", "why": "for a test", "bypass": true}]}]});
        let text = list(&all);
        assert!(
            text.contains("kill switch on") && text.contains("CANARY") && text.contains("good"),
            "{text}"
        );
        let one = find(&all, "s").expect("there");
        let text = show(one, &all["Figures"]["rollouts"]["s"]);
        assert!(
            text.contains("mean 12 ms") && text.contains("gate passed over"),
            "{text}"
        );
        assert!(find(&all, "t").is_none());
    }
}
