//! The operator's interface to rollouts.

use super::{fault, order, Shared};
use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use config::DurationText;
use protocol::{BeginRollout, Command, KillSwitch};
use rollout::{Action, Create, RolloutChange};
use serde::Deserialize;
use validator::Validate;

/// An order to begin; fields that are not known are passed over.
#[derive(Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
struct Begin {
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

/// An order of the operator to a rollout.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Steer {
    who: String,
    why: String,
    /// The version of the rollout that it rests on; 0 for whichever is newest.
    expected: u64,
    bypass: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Switch {
    on: bool,
    #[serde(default)]
    who: String,
    #[serde(default)]
    why: String,
}

/// The first thing that is wrong with a body, with its field.
fn wrong(errors: &validator::ValidationErrors) -> String {
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

pub async fn begin(context: web::Data<Shared>, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    let begin: Begin = match serde_json::from_slice(&body) {
        Ok(begin) => begin,
        Err(e) => return fault(StatusCode::BAD_REQUEST, &format!("the body cannot be read: {e}")),
    };
    if let Err(errors) = begin.validate() {
        return fault(StatusCode::BAD_REQUEST, &wrong(&errors));
    }
    let begin = BeginRollout {
        service: begin.service,
        create: Some(Create {
            target: begin.target_version,
            duration_ms: begin.duration.ms,
        }),
        who: if begin.who.is_empty() {
            "operator".into()
        } else {
            begin.who
        },
        why: begin.why,
    };
    order(&context.0, &request, Command::BeginRollout(begin)).await
}

pub async fn read(
    context: web::Data<Shared>,
    request: HttpRequest,
    service: web::Path<String>,
) -> HttpResponse {
    order(&context.0, &request, Command::ReadRollout(service.into_inner())).await
}

pub async fn list(context: web::Data<Shared>, request: HttpRequest) -> HttpResponse {
    order(&context.0, &request, Command::ReadRollouts(true)).await
}

pub async fn steer(
    context: web::Data<Shared>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Bytes,
) -> HttpResponse {
    let (service, action) = path.into_inner();
    let Some(action) = Action::from_name(&action).filter(|a| *a != Action::Start) else {
        let text = "a rollout can be promoted, paused, resumed, rolled back and cancelled";
        return fault(StatusCode::NOT_FOUND, text);
    };
    let steer: Steer = if body.is_empty() {
        Steer::default()
    } else {
        match serde_json::from_slice(&body) {
            Ok(steer) => steer,
            Err(e) => return fault(StatusCode::BAD_REQUEST, &format!("the body cannot be read: {e}")),
        }
    };
    let change = RolloutChange {
        service,
        action: action as i32,
        expected: steer.expected,
        who: if steer.who.is_empty() {
            "operator".into()
        } else {
            steer.who
        },
        why: steer.why,
        bypass: steer.bypass,
        ..Default::default()
    };
    order(&context.0, &request, Command::ChangeRollout(change)).await
}

pub async fn kill_switch(context: web::Data<Shared>, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    let switch: Switch = match serde_json::from_slice(&body) {
        Ok(switch) => switch,
        Err(e) => return fault(StatusCode::BAD_REQUEST, &format!("the body cannot be read: {e}")),
    };
    let switch = KillSwitch {
        on: switch.on,
        who: switch.who,
        why: switch.why,
    };
    order(&context.0, &request, Command::KillSwitch(switch)).await
}
