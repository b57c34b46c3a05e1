//! The responses of the control interface stay the same byte for byte, except for values that vary:
//! `control-answers.txt` holds every response to a fixed list of calls to a single-node system
//! (commit 7a4bca1).

use crate::control_tests::{send_raw, start_single_node};
use crate::forwarding_tests::CONFIG;
use serde_json::Value;

const EXPECTED: &str = include_str!("../tests/data/control-answers.txt");

/// Paths whose responses contain values that differ from run to run.
const PATHS_WITH_VARYING_VALUES: [&str; 3] = ["/status", "/rollouts/list", "/resolution"];

/// Returns the fields and their JSON types, without the values.
fn without_values(value: &Value) -> Value {
    match value {
        Value::Null => Value::Null,
        Value::Bool(_) => Value::Bool(false),
        Value::Number(_) => Value::from(0),
        Value::String(_) => Value::from(""),
        Value::Array(items) => items.first().map(without_values).into_iter().collect(),
        Value::Object(fields) => {
            let fields = fields.iter().map(|(name, value)| match name.as_str() {
                "counters" => (name.clone(), Value::from("counts by name")),
                _ => (name.clone(), without_values(value)),
            });
            Value::Object(fields.collect())
        }
    }
}

/// Returns a response in the form in which it is compared.
fn comparable(path: &str, response: &str) -> String {
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or((response, ""));
    let has_varying_values = PATHS_WITH_VARYING_VALUES.iter().any(|p| path.starts_with(p));
    let header = |line: &str| match line.split_once(": ") {
        Some((name, _)) if name == "date" => format!("{name}: *"),
        Some((name, _)) if name == "content-length" && has_varying_values => format!("{name}: *"),
        _ => line.to_string(),
    };
    let mut lines: Vec<String> = head.lines().map(header).collect();
    // The order of the headers differs from run to run.
    lines[1..].sort();
    let body = match serde_json::from_str(body) {
        Ok(value) if has_varying_values => without_values(&value).to_string(),
        _ => body.to_string(),
    };
    format!("{}\n\n{body}\n", lines.join("\n"))
}

fn call(method: &str, path: &str, headers: &str, body: &str) -> (String, String) {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    );
    (format!("{method} {path} {headers}{body}"), request)
}

fn calls() -> Vec<(String, String)> {
    let version = |n: u64| CONFIG.replace("\"Version\":1,", &format!("\"Version\":{n},"));
    let base = |n: u64| format!("Base-Version: {n}\r\n");
    let get = |path: &str| call("GET", path, "", "");
    let post = |path: &str, body: &str| call("POST", path, "", body);
    let change = |action: &str, base_version: u64, body: &str| {
        call(
            "POST",
            &format!("/configuration/{action}"),
            &base(base_version),
            body,
        )
    };
    vec![
        get("/readiness"),
        get("/configuration/read"),
        post("/configuration/replace", CONFIG),
        change("replace", 0, "{"),
        change("replace", 0, &CONFIG.replace("idempotent\"", "sometimes\"")),
        change("replace", 7, &version(9)),
        change("modify", 0, r#"{"Version":2}"#),
        change("replace", 0, CONFIG),
        change("replace", 0, CONFIG),
        change("replace", 0, &version(3)),
        change("replace", 1, CONFIG),
        change("modify", 1, r#"{"Version":4,"Upsert":{"Groups":[{"Name":"t"}]}}"#),
        change("modify", 4, r#"{"Version":5,"Remove":{"Groups":["nowhere"]}}"#),
        get("/configuration/read"),
        get("/readiness"),
        post("/evacuation/z/begin", ""),
        post("/evacuation/nowhere/begin", ""),
        post("/evacuation/z/sideways", ""),
        post("/evacuation/z/finish", ""),
        post("/rollouts/begin", "{"),
        post(
            "/rollouts/begin",
            r#"{"Service":"","TargetVersion":"2","Duration":"20s"}"#,
        ),
        post(
            "/rollouts/begin",
            r#"{"Service":"s","TargetVersion":"2","Duration":"1ms"}"#,
        ),
        post(
            "/rollouts/begin",
            r#"{"Service":"nowhere","TargetVersion":"2","Duration":"60s"}"#,
        ),
        get("/rollouts/s/read"),
        post(
            "/rollouts/begin",
            r#"{"Service":"s","TargetVersion":"2","Duration":"60s","Who":"me","Why":"trial"}"#,
        ),
        post(
            "/rollouts/begin",
            r#"{"Service":"s","TargetVersion":"3","Duration":"60s"}"#,
        ),
        get("/rollouts/s/read"),
        post("/rollouts/s/pause", ""),
        post("/rollouts/s/dance", ""),
        post("/rollouts/nowhere/cancel", ""),
        post("/rollouts/s/cancel", r#"{"Expected":99}"#),
        post("/rollouts/s/cancel", r#"{"Who":"me","Why":"enough"}"#),
        get("/rollouts/s/read"),
        post("/rollouts/kill-switch", r#"{"On":true,"Who":"me","Why":"night"}"#),
        post("/rollouts/kill-switch", "{}"),
        get("/rollouts/list"),
        get("/status"),
        get("/resolution?Name=a.example&Region=r&Zone=z"),
        get("/nowhere"),
        post("/status", ""),
    ]
}

#[actix_rt::test]
async fn control_responses_match_the_recorded_ones() {
    let (_context, address, _directory) = start_single_node().await;
    let mut transcript = String::new();
    for (title, request) in calls() {
        let path = title.split(' ').nth(1).unwrap_or("").to_string();
        let response = send_raw(address, &request).await;
        let title: String = title.replace("\r\n", " ").chars().take(120).collect();
        transcript += &format!(
            "> {}\n{}\n",
            title.replace('\n', ""),
            comparable(&path, &response)
        );
    }
    if transcript != EXPECTED {
        let path = std::env::temp_dir().join("control-answers.txt");
        std::fs::write(&path, &transcript).expect("written");
        panic!(
            "the responses have changed; the current ones are in {}",
            path.display()
        );
    }
}
