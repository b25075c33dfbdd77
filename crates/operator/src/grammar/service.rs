//! Parsers for statements about services, and about the engines and plain upstreams placed in them.

use std::net::SocketAddr;

use sequoiastream_core::config::Command;
use sequoiastream_core::config::Fencing;
use sequoiastream_core::config::PlaceEngine;
use sequoiastream_core::config::Repeat;
use sequoiastream_core::config::Route;
use sequoiastream_core::config::Service;
use sequoiastream_core::config::ServiceKind;
use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::cut_err;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::stream::Location;

use crate::grammar::engine;
use crate::grammar::name;
use crate::grammar::role;
use crate::grammar::word;
use crate::token::Input;
use crate::token::ParseResult;
use crate::token::expected;
use crate::token::key;
use crate::token::quoted;
use crate::token::skip_blank;
use crate::token::value;

pub fn create(input: &mut Input<'_>) -> ParseResult<Command> {
    let name = preceded(key!("service"), cut_err(name)).parse_next(input)?;
    let model = quoted("the model's name in double quotes");
    let kind = cut_err(alt((
        preceded(key!("model"), cut_err(model)).map(|model| ServiceKind::Model { model }),
        preceded(key!("plain"), repeat(0.., route)).map(|routes| ServiceKind::Plain { routes }),
    )))
    .parse_next(input)?;
    let service = Service { kind };
    Ok(Command::CreateService { name, service })
}

pub fn drop(input: &mut Input<'_>) -> ParseResult<Command> {
    preceded(key!("service"), cut_err(name))
        .map(|name| Command::DropService { name })
        .parse_next(input)
}

pub fn place(input: &mut Input<'_>) -> ParseResult<Command> {
    (engine, placement)
        .map(|(name, place)| Command::PlaceEngine { name, place })
        .parse_next(input)
}

pub fn replace(input: &mut Input<'_>) -> ParseResult<Command> {
    (engine, preceded(key!("with"), name), placement)
        .map(|(name, with, place)| Command::ReplaceEngine { name, with, place })
        .parse_next(input)
}

fn route(input: &mut Input<'_>) -> ParseResult<Route> {
    let repeat = alt((
        key!("safe").value(Repeat::Safe),
        key!("never").value(Repeat::Never),
        key!("dedupes").value(Repeat::Dedupes),
    ));
    let rest = cut_err((word("an HTTP method"), path, repeat));
    preceded(key!("route"), rest)
        .map(|(method, path, repeat)| Route {
            method: method.to_ascii_uppercase(),
            path,
            repeat,
        })
        .parse_next(input)
}

fn path(input: &mut Input<'_>) -> ParseResult<String> {
    const EXPECTED: &str = "a path in double quotes, beginning with `/`";
    skip_blank(input)?;
    let at = input.current_token_start();
    let path = quoted(EXPECTED).parse_next(input)?;
    match path.starts_with('/') {
        true => Ok(path),
        false => expected(at, EXPECTED),
    }
}

fn placement(input: &mut Input<'_>) -> ParseResult<PlaceEngine> {
    let address = value::<SocketAddr>("an address such as 10.0.0.7:8000");
    let fencing = alt((
        key!("checked").value(Fencing::Checked),
        key!("ignored").value(Fencing::Ignored),
    ));
    (
        preceded(key!("service"), name),
        preceded(key!("zone"), name),
        preceded(key!("address"), address),
        opt(preceded(key!("fencing"), cut_err(fencing))),
        opt(preceded(key!("role"), cut_err(role))),
    )
        .map(|(service, zone, address, fencing, role)| PlaceEngine {
            service,
            zone,
            address,
            fencing: fencing.unwrap_or(Fencing::Ignored),
            role: role.flatten(),
        })
        .parse_next(input)
}
