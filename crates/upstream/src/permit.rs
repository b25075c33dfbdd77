//! A connector that checks, after connecting, whether the request may still be sent.

use std::io::Error;
use std::rc::Rc;

use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_tls::connect::ConnectError;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use actix_tls::connect::ConnectorService;
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;

/// Called after each connection is established; returns whether the request may be sent on it.
pub type Permit = Rc<dyn Fn() -> bool>;

/// Connects, then calls the permit and drops the connection if it returns `false`.
///
/// Guards against a request to a drained engine: the process is paused while it connects, and operators drain the
/// engine before it resumes. Connecting is the only wait between the choice of the engine and the request, so the
/// permit detects such a pause before anything is sent.
#[derive(Clone)]
pub(crate) struct PermitConnector {
    connector: ConnectorService,
    permit: Permit,
}

impl PermitConnector {
    pub(crate) fn new(permit: Permit) -> PermitConnector {
        PermitConnector {
            connector: ConnectorService::default(),
            permit,
        }
    }
}

impl Service<ConnectInfo<Uri>> for PermitConnector {
    type Response = Connection<Uri, TcpStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let connecting = self.connector.call(info);
        let permit = self.permit.clone();
        Box::pin(async move {
            let connection = connecting.await?;
            match permit() {
                true => Ok(connection),
                false => Err(ConnectError::Io(Error::other(
                    "the request is no longer permitted",
                ))),
            }
        })
    }
}
