//! The control interface for rollouts.

use super::{error_response, execute_command, SharedContext};
use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use config::DurationText;
use protocol::{BeginRollout, Command, KillSwitch};
use rollout::{Action, Create, RolloutChange};
use serde::Deserialize;
use validator::Validate;

/// Author recorded for a change that names none.
const DEFAULT_AUTHOR: &str = "operator";

/// Body of a request to begin a rollout; unknown fields are ignored.
#[derive(Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
struct BeginBody {
    #[validate(length(min = 1, max = 256, message = "must have 1 to 256 letters"))]
    service: String,
    #[validate(length(min = 1, max = 256, message = "must have 1 to 256 letters"))]
    target_version: String,
    duration: DurationText,
    #[serde(default)]
    who: String,
    #[serde(default)]
    why: String,
}

/// Body of a request to change a rollout.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct ChangeBody {
    who: String,
    why: String,
    /// Version of the rollout that the change is based on; 0 for the latest.
    expected: u64,
    bypass: bool,
}

/// Body of a request to turn the kill switch on or off.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KillSwitchBody {
    on: bool,
    #[serde(default)]
    who: String,
    #[serde(default)]
    why: String,
}

/// Returns the first validation error of a body, prefixed with the name of its field.
fn first_error(errors: &validator::ValidationErrors) -> String {
    let fields = errors.field_errors();
    let first = fields.iter().next();
    first.map_or_else(String::new, |(field, list)| {
        let name: String = field
            .split('_')
            .map(|part| part[..1].to_uppercase() + &part[1..])
            .collect();
        let why = list.first().and_then(|e| e.message.clone()).unwrap_or_default();
        format!("{name}: {why}")
    })
}

/// Begins a rollout.
pub async fn begin(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let begin: BeginBody = match serde_json::from_slice(&body) {
        Ok(begin) => begin,
        Err(e) => return error_response(StatusCode::BAD_REQUEST, &format!("the body cannot be read: {e}")),
    };
    if let Err(errors) = begin.validate() {
        return error_response(StatusCode::BAD_REQUEST, &first_error(&errors));
    }
    let begin = BeginRollout {
        service: begin.service,
        create: Some(Create {
            target: begin.target_version,
            duration_ms: begin.duration.ms,
        }),
        who: if begin.who.is_empty() {
            DEFAULT_AUTHOR.into()
        } else {
            begin.who
        },
        why: begin.why,
    };
    execute_command(&context.0, &request, Command::BeginRollout(begin)).await
}

/// Returns one rollout.
pub async fn read(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    service: web::Path<String>,
) -> HttpResponse {
    execute_command(&context.0, &request, Command::ReadRollout(service.into_inner())).await
}

/// Returns all rollouts.
pub async fn list(context: web::Data<SharedContext>, request: HttpRequest) -> HttpResponse {
    execute_command(&context.0, &request, Command::ReadRollouts(true)).await
}

/// Promotes, pauses, resumes, rolls back or cancels a rollout.
pub async fn change(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Bytes,
) -> HttpResponse {
    let (service, action) = path.into_inner();
    let Some(action) = Action::from_name(&action).filter(|a| *a != Action::Start) else {
        let text = "a rollout can be promoted, paused, resumed, rolled back and cancelled";
        return error_response(StatusCode::NOT_FOUND, text);
    };
    let change_body: ChangeBody = if body.is_empty() {
        ChangeBody::default()
    } else {
        match serde_json::from_slice(&body) {
            Ok(change_body) => change_body,
            Err(e) => {
                return error_response(StatusCode::BAD_REQUEST, &format!("the body cannot be read: {e}"))
            }
        }
    };
    let change = RolloutChange {
        service,
        action: action as i32,
        expected: change_body.expected,
        who: if change_body.who.is_empty() {
            DEFAULT_AUTHOR.into()
        } else {
            change_body.who
        },
        why: change_body.why,
        bypass: change_body.bypass,
        ..Default::default()
    };
    execute_command(&context.0, &request, Command::ChangeRollout(change)).await
}

/// Turns the kill switch on or off. While it is on, no rollout starts or is promoted.
pub async fn kill_switch(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let switch: KillSwitchBody = match serde_json::from_slice(&body) {
        Ok(switch) => switch,
        Err(e) => return error_response(StatusCode::BAD_REQUEST, &format!("the body cannot be read: {e}")),
    };
    let switch = KillSwitch {
        on: switch.on,
        who: switch.who,
        why: switch.why,
    };
    execute_command(&context.0, &request, Command::KillSwitch(switch)).await
}
