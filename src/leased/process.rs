//! Runs a process that serves jobs under leases: control thread, HTTP listeners, shutdown.

use std::fmt;
use std::net;
use std::sync;

use actix_web::web;

use crate::codes;
use crate::control;
use crate::daemon;
use crate::incoming;
use crate::metrics;

type Routes = sync::Arc<dyn Fn(&mut web::ServiceConfig) + Send + Sync>;

/// A listening address and its HTTP routes.
pub struct Port {
    address: net::SocketAddr,
    /// Whether the process exits if the port can't be opened.
    is_required: bool,
    /// Whether a stop waits until no request is open.
    is_awaited: bool,
    bounds: daemon::Bounds,
    routes: Routes,
}

impl fmt::Debug for Port {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut port = f.debug_struct("Port");
        port.field("address", &self.address).finish_non_exhaustive()
    }
}

impl Port {
    /// Describes a port, which [`serve`] opens.
    pub fn new<F>(address: net::SocketAddr, bounds: daemon::Bounds, routes: F) -> Self
    where
        F: Fn(&mut web::ServiceConfig) + Send + Sync + 'static,
    {
        Self {
            address,
            is_required: true,
            is_awaited: true,
            bounds,
            routes: sync::Arc::new(routes),
        }
    }

    /// Makes the port optional: the process keeps running if it can't be opened.
    #[must_use]
    pub fn optional(self) -> Self {
        Self {
            is_required: false,
            ..self
        }
    }

    /// Makes a stop complete the open requests only as the port closes.
    ///
    /// Otherwise a stop would wait for a moment without any request, which never comes while many
    /// peers call again and again.
    #[must_use]
    pub fn unawaited(self) -> Self {
        Self {
            is_awaited: false,
            ..self
        }
    }
}

/// Starts a control actor on its own thread.
pub fn start_control<A, F>(create: F) -> Result<actix::Addr<A>, daemon::DaemonError>
where
    A: actix::Actor<Context = actix::Context<A>>,
    F: FnOnce() -> A + Send + 'static,
{
    daemon::start_on_own_thread(create)
}

/// Returns the port that serves metrics; it is optional, as callers are served without it.
pub fn metrics<A>(
    address: net::SocketAddr,
    bounds: daemon::Bounds,
    control: &actix::Addr<A>,
) -> Port
where
    A: actix::Actor<Context = actix::Context<A>> + actix::Handler<control::GetMetrics>,
{
    let source: actix::Recipient<control::GetMetrics> = control.clone().recipient();
    Port::new(address, bounds, move |cfg| {
        cfg.app_data(web::Data::new(source.clone()));
        cfg.route("/metrics", web::get().to(scrape));
    })
    .optional()
}

async fn scrape(
    source: web::Data<actix::Recipient<control::GetMetrics>>,
) -> actix_web::HttpResponse {
    let Ok(samples) = source.send(control::GetMetrics).await else {
        return incoming::refuse(codes::Code::Leaving);
    };
    metrics::response(samples)
}

/// Opens the ports and serves until the process is asked to stop and has drained.
pub async fn serve<A>(control: &actix::Addr<A>, ports: Vec<Port>) -> Result<(), daemon::DaemonError>
where
    A: actix::Actor<Context = actix::Context<A>>
        + actix::Handler<control::Leave>
        + actix::Handler<control::IsDrained>
        + actix::Handler<control::Abandon>,
{
    let open = daemon::OpenWork::default();
    let mut servers = Vec::with_capacity(ports.len());
    for port in ports {
        let listener = match net::TcpListener::bind(port.address) {
            Ok(listener) => listener,
            Err(e) if port.is_required => return Err(e.into()),
            Err(e) => {
                log::error!(event = "port.unserved", address:% = port.address; "serving without this port: {e}");
                continue;
            }
        };
        let port_open = if port.is_awaited {
            open.clone()
        } else {
            open.without_delay()
        };
        let routes = port.routes;
        let routes = move |cfg: &mut web::ServiceConfig| routes(cfg);
        servers.push(daemon::serve(listener, 1, port.bounds, &port_open, routes)?);
    }
    daemon::serve_until_drained(servers, daemon::shutdown_handles(control), open).await
}
