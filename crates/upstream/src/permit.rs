//! Connections that carry a request only if it is still permitted once they are established.

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

/// Asked after each connection is established: whether the request may be sent on it.
pub type Permit = Rc<dyn Fn() -> bool>;

/// Connects, then asks for the permit.
///
/// Failure guarded against: an instance is paused while it connects to an engine, operators drain the engine meanwhile,
/// and the instance sends the request when it resumes, by a decision from before the pause. Connecting is the only
/// wait between the decision and the request, so a pause there is noticed before anything is sent.
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
