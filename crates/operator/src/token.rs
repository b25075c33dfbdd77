//! Splits statements into words, quoted texts and separators.

use winnow::LocatingSlice;
use winnow::ModalResult;
use winnow::Parser;
use winnow::ascii::line_ending;
use winnow::ascii::multispace1;
use winnow::ascii::till_line_ending;
use winnow::combinator::alt;
use winnow::combinator::delimited;
use winnow::combinator::eof;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::combinator::terminated;
use winnow::token::take_while;

use crate::error::SyntaxError;

/// What kind of token it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// A keyword, name, number or address.
    Word(String),
    /// A text in double quotes.
    Quoted(String),
    /// `;`
    Semicolon,
    /// `,`
    Comma,
}

/// A token and where it begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// What it is.
    pub kind: Kind,
    /// Byte offset in the text.
    pub at: usize,
}

type Input<'a> = LocatingSlice<&'a str>;

/// Splits `text` into tokens.
pub fn tokens(text: &str) -> Result<Vec<Token>, SyntaxError> {
    let all = terminated(repeat(0.., token), (blank, eof));
    let mut all = all;
    all.parse(LocatingSlice::new(text))
        .map_err(|error| error_at(text, error.offset(), "a word, a quoted text, `,` or `;`"))
}

/// The error that `expected` was not found at byte `at` of `text`.
pub fn error_at(text: &str, at: usize, expected: &str) -> SyntaxError {
    let at = at.min(text.len());
    let before = &text[..at];
    let start = before.rfind('\n').map_or(0, |i| i + 1);
    let line = text[start..].lines().next().unwrap_or_default();
    let rest = &text[at..];
    let found = match rest.split_whitespace().next() {
        Some(word) => format!("`{}`", word.trim_end_matches(';')),
        None => "the end".to_string(),
    };
    SyntaxError {
        line: before.matches('\n').count() + 1,
        column: text[start..at].chars().count() + 1,
        text: line.to_string(),
        found,
        expected: expected.to_string(),
    }
}

fn token(input: &mut Input<'_>) -> ModalResult<Token> {
    preceded(blank, alt((quoted, separator, word)).with_span())
        .map(|(kind, span)| Token { kind, at: span.start })
        .parse_next(input)
}

fn blank(input: &mut Input<'_>) -> ModalResult<()> {
    let comment = ("--", till_line_ending, opt(line_ending)).void();
    repeat(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> ModalResult<Kind> {
    delimited('"', take_while(0.., |c: char| c != '"' && c != '\n'), '"')
        .map(|text: &str| Kind::Quoted(text.to_string()))
        .parse_next(input)
}

fn separator(input: &mut Input<'_>) -> ModalResult<Kind> {
    alt((';'.value(Kind::Semicolon), ','.value(Kind::Comma))).parse_next(input)
}

fn word(input: &mut Input<'_>) -> ModalResult<Kind> {
    take_while(1.., |c: char| !c.is_whitespace() && !";,\"".contains(c))
        .map(|text: &str| Kind::Word(text.to_string()))
        .parse_next(input)
}
