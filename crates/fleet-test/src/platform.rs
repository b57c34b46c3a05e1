//! The platform's simulator: the list of workers. There are none by default.

use crate::ScenarioError;
use actix_web::dev::ServerHandle;
use actix_web::{web, App, HttpResponse, HttpServer};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};

/// Workers by `Identifier`, each as the list shows it.
pub type Instances = Arc<Mutex<BTreeMap<String, serde_json::Value>>>;

/// The simulated platform: it lists no workers.
pub struct Platform {
    pub instances: Instances,
    server: ServerHandle,
}

impl Platform {
    /// Listens at an address.
    pub fn start(address: SocketAddrV4) -> Result<Platform, ScenarioError> {
        let instances = Instances::default();
        let shared = web::Data::from(instances.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(shared.clone())
                .route("/instances", web::get().to(list))
        })
        .workers(1)
        .disable_signals()
        .bind(address)
        .map_err(|e| format!("the platform at {address}: {e}"))?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Platform {
            instances,
            server: handle,
        })
    }

    /// Stops listening.
    pub async fn stop(&self) {
        self.server.stop(false).await;
    }
}

/// The whole list on one page, or that of one zone.
async fn list(
    instances: web::Data<Mutex<BTreeMap<String, serde_json::Value>>>,
    asked: web::Query<BTreeMap<String, String>>,
) -> HttpResponse {
    let Ok(all) = instances.lock() else {
        return HttpResponse::InternalServerError().finish();
    };
    let wanted = |entry: &serde_json::Value| asked.get("Zone").is_none_or(|z| entry["Zone"] == z.as_str());
    let listed: BTreeMap<_, _> = all.iter().filter(|(_, entry)| wanted(entry)).collect();
    HttpResponse::Ok().json(serde_json::json!({ "Instances": listed, "NextToken": null }))
}
