//! The HTTP interface for operators, mounted by the daemon.

use std::net::SocketAddr;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::web;
use actix_web::web::Data;
use actix_web::web::Json;
use actix_web::web::ServiceConfig;
use thiserror::Error;

use crate::error::SyntaxError;
use crate::statement::Table;
use crate::wire::ErrorBody;
use crate::wire::ReplyBody;
use crate::wire::StatementBody;

/// Why statements were not executed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OperatorError {
    /// The token is missing or wrong.
    #[error("the operator token is missing or wrong")]
    Unauthorized,
    /// The text is not a valid statement.
    #[error("could not read the statement: {0}")]
    Syntax(#[from] SyntaxError),
    /// The text contains no statement, several queries, or both queries and changes.
    #[error("could not execute the statements: give either one query or only changes")]
    Mixed,
    /// A query uses a column that its table doesn't have.
    #[error("there is no column `{column}` in `{table}`; it has {columns}")]
    UnknownColumn {
        /// Name of the unknown column.
        column: String,
        /// The table of the query.
        table: Table,
        /// Names of the table's columns, separated by commas.
        columns: String,
    },
    /// The change can't be applied to the configuration in force.
    #[error("could not accept the change: {0}")]
    Rejected(String),
    /// Another change was accepted first.
    #[error("could not accept the change: {0}")]
    Conflict(String),
    /// The platform's key-value service gave no definite answer, so the change may have been accepted. Sending the
    /// statements again with the same command ID is safe.
    #[error("could not reach the key-value service: {0}")]
    KvUnreachable(String),
}

impl OperatorError {
    fn status(&self) -> StatusCode {
        match self {
            OperatorError::Unauthorized => StatusCode::UNAUTHORIZED,
            OperatorError::Syntax(_) | OperatorError::Mixed | OperatorError::UnknownColumn { .. } => {
                StatusCode::BAD_REQUEST
            }
            OperatorError::Rejected(_) => StatusCode::UNPROCESSABLE_ENTITY,
            OperatorError::Conflict(_) => StatusCode::CONFLICT,
            OperatorError::KvUnreachable(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn help(&self) -> Option<&'static str> {
        match self {
            OperatorError::Unauthorized => Some("set SEQUOIASTREAM_OPERATOR_TOKEN"),
            OperatorError::Syntax(_) => Some("see docs/GRAMMAR.md"),
            OperatorError::Rejected(_) | OperatorError::Mixed | OperatorError::UnknownColumn { .. } => None,
            OperatorError::Conflict(_) => Some("check `show changes`, then decide again"),
            OperatorError::KvUnreachable(_) => {
                Some("repeat the command with the same ID: it takes effect at most once")
            }
        }
    }
}

/// Executes statements; implemented by the daemon.
pub trait Executor: Clone + 'static {
    /// Whether `token` authorizes its sender to send statements.
    fn authorize(&self, token: &str) -> bool;

    /// Executes `statement`, which was received from the address `from`.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] if nothing changed, or if it is not known whether anything changed.
    fn execute(
        &self,
        statement: StatementBody,
        from: Option<SocketAddr>,
    ) -> impl Future<Output = Result<ReplyBody, OperatorError>>;
}

/// Registers the routes for `executor`.
pub fn configure<E>(config: &mut ServiceConfig, executor: E)
where
    E: Executor,
{
    config
        .app_data(Data::new(executor))
        .route("/operator/statement", web::post().to(statement::<E>));
}

async fn statement<E>(executor: Data<E>, request: HttpRequest, body: Json<StatementBody>) -> HttpResponse
where
    E: Executor,
{
    let token = bearer(&request).unwrap_or_default();
    let result = match executor.authorize(token) {
        true => executor.execute(body.into_inner(), request.peer_addr()).await,
        false => Err(OperatorError::Unauthorized),
    };
    match result {
        Ok(reply) => HttpResponse::Ok().json(reply),
        Err(error) => HttpResponse::build(error.status()).json(ErrorBody {
            error: error.to_string(),
            help: error.help().map(str::to_string),
        }),
    }
}

fn bearer(request: &HttpRequest) -> Option<&str> {
    let value = request.headers().get("authorization")?;
    value.to_str().ok()?.strip_prefix("Bearer ")
}
