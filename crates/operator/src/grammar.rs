//! Parsers for statements. `docs/GRAMMAR.md` documents the grammar.
//!
//! Once the keywords that identify a statement have been read, a failure is final (`cut_err`), so that the caret in the
//! error message points at the mistake and not at the start of the statement.

mod product;
mod service;

use sequoiastream_core::config::Command;
use sequoiastream_core::config::Role;
use sequoiastream_core::name::Name;
use winnow::LocatingSlice;
use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::cut_err;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::separated;
use winnow::error::ErrMode;
use winnow::stream::Location;
use winnow::stream::Stream;

use crate::error::Expected;
use crate::error::SyntaxError;
use crate::statement::Filter;
use crate::statement::Query;
use crate::statement::Statement;
use crate::statement::Table;
use crate::token::Input;
use crate::token::ParseResult;
use crate::token::expected;
use crate::token::key;
use crate::token::number;
use crate::token::quoted;
use crate::token::skip_blank;
use crate::token::symbol;
use crate::token::value;

/// Permitted length of a fingerprint, in hexadecimal digits.
const FINGERPRINT_LENGTH: std::ops::RangeInclusive<usize> = 16..=64;

/// Parses exactly one statement.
///
/// # Errors
///
/// [`SyntaxError`] with the position of the error and what was expected there.
pub fn parse(text: &str) -> Result<Statement, SyntaxError> {
    let mut statements = parse_script(text)?;
    match (statements.pop(), statements.is_empty()) {
        (Some(statement), true) => Ok(statement),
        _ => Err(SyntaxError::new(text, text.len(), "exactly one statement")),
    }
}

/// Parses statements separated by `;`.
///
/// # Errors
///
/// [`SyntaxError`] with the position of the error and what was expected there.
pub fn parse_script(text: &str) -> Result<Vec<Statement>, SyntaxError> {
    let mut input = LocatingSlice::new(text);
    script(&mut input).map_err(|error| match error {
        ErrMode::Backtrack(expected) | ErrMode::Cut(expected) => expected.in_text(text),
        ErrMode::Incomplete(_) => SyntaxError::new(text, text.len(), "more"),
    })
}

fn script(input: &mut Input<'_>) -> ParseResult<Vec<Statement>> {
    let mut statements = Vec::new();
    loop {
        while opt(symbol(";", "`;`")).parse_next(input)?.is_some() {}
        if at_end(input)? {
            return Ok(statements);
        }
        statements.push(statement(input)?);
        if !at_end(input)? {
            symbol(";", "`;` or the end").parse_next(input)?;
        }
    }
}

fn at_end(input: &mut Input<'_>) -> ParseResult<bool> {
    skip_blank(input)?;
    Ok(input.eof_offset() == 0)
}

fn statement(input: &mut Input<'_>) -> ParseResult<Statement> {
    alt((
        preceded(key!("show"), cut_err(query)).map(Statement::Show),
        preceded(key!("create"), cut_err(alt((product::create, service::create)))).map(Statement::Change),
        preceded(key!("alter"), cut_err(product::alter)).map(Statement::Change),
        preceded(key!("drop"), cut_err(alt((product::drop, service::drop)))).map(Statement::Change),
        preceded(key!("place"), cut_err(service::place)).map(Statement::Change),
        preceded(key!("replace"), cut_err(service::replace)).map(Statement::Change),
        engine_command.map(Statement::Change),
        fingerprint_command.map(Statement::Change),
        preceded(key!("release"), cut_err(release_order)).map(Statement::Change),
    ))
    .parse_next(input)
}

fn query(input: &mut Input<'_>) -> ParseResult<Query> {
    let table = table(input)?;
    let filters = opt(preceded(
        key!("where"),
        cut_err(separated(1.., filter, key!("and"))),
    ))
    .parse_next(input)?;
    let limit = opt(preceded(
        key!("limit"),
        cut_err(number(1..=1_000_000, "a number of rows")),
    ))
    .parse_next(input)?;
    Ok(Query {
        table,
        filters: filters.unwrap_or_default(),
        limit: limit.map(|rows| rows as usize),
    })
}

fn table(input: &mut Input<'_>) -> ParseResult<Table> {
    skip_blank(input)?;
    let at = input.current_token_start();
    let word = word("a table").parse_next(input)?;
    match Table::ALL.iter().find(|(name, _)| *name == word) {
        Some((_, table)) => Ok(*table),
        None => expected(at, table_names()),
    }
}

fn table_names() -> String {
    let names: Vec<String> = Table::ALL.iter().map(|(name, _)| format!("`{name}`")).collect();
    names.join(" or ")
}

fn filter(input: &mut Input<'_>) -> ParseResult<Filter> {
    let column = word("a column").parse_next(input)?;
    let equal = alt((symbol("=", "`=`").value(true), symbol("!=", "`!=`").value(false))).parse_next(input)?;
    let value = alt((quoted("a text in double quotes"), word("a word"))).parse_next(input)?;
    Ok(Filter { column, equal, value })
}

/// Parses any non-empty word.
fn word<'a>(item: &'static str) -> impl Parser<Input<'a>, String, ErrMode<Expected>> {
    move |input: &mut Input<'a>| {
        skip_blank(input)?;
        let at = input.current_token_start();
        let found: String = value(item).parse_next(input)?;
        match found.is_empty() {
            true => expected(at, item),
            false => Ok(found),
        }
    }
}

/// Parses statements of the form VERB `engine` NAME.
fn engine_command(input: &mut Input<'_>) -> ParseResult<Command> {
    alt((
        preceded(key!("drain"), cut_err(engine)).map(|name| Command::DrainEngine { name }),
        preceded(key!("resume"), cut_err(engine)).map(|name| Command::ResumeEngine { name }),
        preceded(key!("withdraw"), cut_err(engine)).map(|name| Command::WithdrawEngine { name }),
        preceded(key!("set"), cut_err((engine, key!("role"), role)))
            .map(|(name, (), role)| Command::SetRole { name, role }),
    ))
    .parse_next(input)
}

fn fingerprint_command(input: &mut Input<'_>) -> ParseResult<Command> {
    alt((
        preceded(key!("quarantine"), cut_err(fingerprint))
            .map(|fingerprint| Command::Quarantine { fingerprint }),
        preceded(key!("pardon"), cut_err(fingerprint)).map(|fingerprint| Command::Pardon { fingerprint }),
    ))
    .parse_next(input)
}

fn name(input: &mut Input<'_>) -> ParseResult<Name> {
    value("a name (a lower-case letter, then also digits, `-`, `.`, `_`)").parse_next(input)
}

fn engine(input: &mut Input<'_>) -> ParseResult<Name> {
    preceded(key!("engine"), name).parse_next(input)
}

fn role(input: &mut Input<'_>) -> ParseResult<Option<Role>> {
    alt((
        key!("prefill").value(Some(Role::Prefill)),
        key!("decode").value(Some(Role::Decode)),
        key!("mixed").value(Some(Role::Mixed)),
        key!("auto").value(None),
    ))
    .parse_next(input)
}

fn fingerprint(input: &mut Input<'_>) -> ParseResult<String> {
    const EXPECTED: &str = "a fingerprint of 16 to 64 hexadecimal digits";
    key!("fingerprint").parse_next(input)?;
    skip_blank(input)?;
    let at = input.current_token_start();
    let text: String = value(EXPECTED).parse_next(input)?;
    let valid = FINGERPRINT_LENGTH.contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
    match valid {
        true => Ok(text.to_ascii_lowercase()),
        false => expected(at, EXPECTED),
    }
}

fn release_order(input: &mut Input<'_>) -> ParseResult<Command> {
    key!("order").parse_next(input)?;
    let name = name(input)?;
    key!("sequence").parse_next(input)?;
    let sequence = number(1..=u32::MAX, "the order's sequence number").parse_next(input)?;
    Ok(Command::ReleaseOrder {
        name,
        sequence: u64::from(sequence),
    })
}
