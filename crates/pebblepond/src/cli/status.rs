//! The `status` command: shows the state of the system as the leader reports it.

use super::call::call;
use super::{exit, CliResult, ControlArgs, Failure};
use serde_json::Value;

/// Prints the state of the system.
pub fn status(control: &ControlArgs) -> CliResult {
    let response = call(control, "GET", "/status", None, Vec::new())?;
    if response.status != 200 {
        return Err(Failure(exit::REFUSED, response.error()));
    }
    let text = String::from_utf8_lossy(&response.body).into_owned();
    if control.json {
        println!("{text}");
        return Ok(());
    }
    let value: Value = serde_json::from_str(&text).map_err(|e| Failure(exit::REFUSED, e.to_string()))?;
    print!("{}", show(&value));
    Ok(())
}

fn rows(value: &Value, name: &str) -> Vec<Value> {
    value[name].as_array().cloned().unwrap_or_default()
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// Formats the `core` object of the status in the terms of the operators' page.
fn describe_core(core: &Value) -> String {
    if core.is_null() {
        return String::new();
    }
    let is_true = |name: &str| core[name] == Value::Bool(true);
    let mut output = if !is_true("in_contact") {
        format!(
            "THIS NODE IS OUT OF CONTACT: no word of a majority for {} ms; what follows may be old\n",
            plain_text(&core["silent_ms"])
        )
    } else if is_true("leads") {
        format!("this node leads, for {} ms\n", plain_text(&core["led_for_ms"]))
    } else {
        format!(
            "this node follows; last word {} ms ago\n",
            plain_text(&core["silent_ms"])
        )
    };
    output += &format!(
        "voters {}, majority {}",
        plain_text(&core["voters"]),
        plain_text(&core["majority"])
    );
    if is_true("leads") {
        let further = core["further_losses"].as_i64().unwrap_or(0);
        output += &format!(
            "; live {}, caught up {}, learning {}; bears {further} further loss{}{}",
            plain_text(&core["live"]),
            plain_text(&core["caught_up"]),
            plain_text(&core["learning"]),
            if further == 1 { "" } else { "es" },
            if is_true("bears_tolerance") {
                ""
            } else {
                ", less than Tolerance"
            },
        );
    }
    if is_true("roll_change_under_way") {
        output += "; a change of the voters is under way";
    }
    if is_true("disk_in_trouble") {
        output += "; DISK IN TROUBLE";
    }
    output += &format!(
        "\nsnapshot at {} ({} bytes), {} entries since; orders remembered: {} configurations, {} others\n\n",
        plain_text(&core["snapshot_index"]),
        plain_text(&core["snapshot_bytes"]),
        plain_text(&core["log_entries"]),
        plain_text(&core["orders"]["configurations"]),
        plain_text(&core["orders"]["others"]),
    );
    output
}

fn show(status: &Value) -> String {
    let mut output = format!(
        "leader {}  term {}  lease {}  commit {}  version {}  workers {}  evacuated {}\n\nmembers\n",
        plain_text(&status["leader"]),
        plain_text(&status["term"]),
        plain_text(&status["lease"]),
        plain_text(&status["commit"]),
        plain_text(&status["version"]),
        plain_text(&status["workers"]),
        plain_text(&status["evacuated"]),
    );
    output = describe_core(&status["core"]) + &output;
    for member in rows(status, "members") {
        let flags: Vec<&str> = ["alive", "ready", "disk", "votes"]
            .into_iter()
            .filter(|flag| member[*flag] == Value::Bool(true))
            .collect();
        output += &format!(
            "  {:20} {:22} {:10} applied {:>6}  silent {:>6} ms  {}\n",
            plain_text(&member["name"]),
            plain_text(&member["address"]),
            plain_text(&member["zone"]),
            plain_text(&member["applied"]),
            plain_text(&member["silent_ms"]),
            flags.join(" ")
        );
    }
    output += "\nkeys\n";
    for holding in rows(status, "holdings") {
        output += &format!(
            "  {:12} {:>5} to {:>5}  {:16} fence {}{}\n",
            plain_text(&holding["service"]),
            plain_text(&holding["from"]),
            plain_text(&holding["to"]),
            plain_text(&holding["worker"]),
            plain_text(&holding["fence"]),
            if holding["leaving"] == Value::Bool(true) {
                "  leaving"
            } else {
                ""
            }
        );
    }
    output += "\nfractions\n";
    for fraction in rows(status, "fractions") {
        let part = fraction["part"].as_f64().unwrap_or(0.0);
        output += &format!(
            "  {:12} {:10} {:12} {part:.2}\n",
            plain_text(&fraction["service"]),
            plain_text(&fraction["group"]),
            plain_text(&fraction["site"])
        );
    }
    output
}

#[cfg(test)]
#[path = "status_tests.rs"]
mod tests;
