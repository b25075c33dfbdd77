//! Token parsers for statements: keywords, values, numbers and quoted strings.
//!
//! Each parser first skips white space and comments (`--` to the end of the line), and reports what it expected if it
//! fails.

use std::ops::RangeInclusive;
use std::str::FromStr;

use winnow::LocatingSlice;
use winnow::Parser;
use winnow::ascii::multispace1;
use winnow::ascii::till_line_ending;
use winnow::combinator::alt;
use winnow::combinator::delimited;
use winnow::combinator::repeat;
use winnow::error::ErrMode;
use winnow::stream::Location;
use winnow::token::literal;
use winnow::token::take_while;

use crate::error::Expected;

/// Input of the parsers: the text of statements.
pub(crate) type Input<'a> = LocatingSlice<&'a str>;

/// Result of a parser.
pub(crate) type ParseResult<T> = Result<T, ErrMode<Expected>>;

/// Skips white space and comments.
pub(crate) fn skip_blank(input: &mut Input<'_>) -> ParseResult<()> {
    repeat(0.., alt((multispace1.void(), ("--", till_line_ending).void()))).parse_next(input)
}

/// The recoverable error that `item` was not found at the byte offset `at`: other alternatives are still tried.
pub(crate) fn expected<T>(at: usize, item: impl Into<String>) -> ParseResult<T> {
    Err(ErrMode::Backtrack(Expected::new(at, item)))
}

/// Parses a keyword, ignoring case. `quoted` is the keyword as error messages show it.
pub(crate) fn keyword<'a>(
    word: &'static str,
    quoted: &'static str,
) -> impl Parser<Input<'a>, (), ErrMode<Expected>> {
    move |input: &mut Input<'a>| {
        let (at, found) = next_word(input)?;
        match found.eq_ignore_ascii_case(word) {
            true => Ok(()),
            false => expected(at, quoted),
        }
    }
}

/// Short form of [`keyword`]: `key!("drain")` stands for `keyword("drain", "`drain`")`.
macro_rules! key {
    ($word:literal) => {
        $crate::token::keyword($word, concat!("`", $word, "`"))
    };
}
pub(crate) use key;

/// Parses a symbol such as `;`. `quoted` is the symbol as error messages show it.
pub(crate) fn symbol<'a>(
    text: &'static str,
    quoted: &'static str,
) -> impl Parser<Input<'a>, (), ErrMode<Expected>> {
    move |input: &mut Input<'a>| {
        skip_blank(input)?;
        let at = input.current_token_start();
        let found: ParseResult<&str> = literal(text).parse_next(input);
        found.map(|_| ()).or_else(|_| expected(at, quoted))
    }
}

/// Parses a word as a `T`.
pub(crate) fn value<'a, T>(item: &'static str) -> impl Parser<Input<'a>, T, ErrMode<Expected>>
where
    T: FromStr,
{
    move |input: &mut Input<'a>| {
        let (at, found) = next_word(input)?;
        found.parse().or_else(|_| expected(at, item))
    }
}

/// Parses a number within `range`.
pub(crate) fn number<'a>(
    range: RangeInclusive<u32>,
    item: &'static str,
) -> impl Parser<Input<'a>, u32, ErrMode<Expected>> {
    move |input: &mut Input<'a>| {
        let (at, found) = next_word(input)?;
        match found.parse() {
            Ok(number) if range.contains(&number) => Ok(number),
            _ => expected(at, item),
        }
    }
}

/// Parses a non-empty string in double quotes.
pub(crate) fn quoted<'a>(item: &'static str) -> impl Parser<Input<'a>, String, ErrMode<Expected>> {
    move |input: &mut Input<'a>| {
        skip_blank(input)?;
        let at = input.current_token_start();
        let inner = take_while(1.., |c: char| c != '"' && c != '\n');
        let found: ParseResult<&str> = delimited('"', inner, '"').parse_next(input);
        found.map(str::to_string).or_else(|_| expected(at, item))
    }
}

/// Reads the next word and its byte offset; the word is empty if there is none.
fn next_word<'a>(input: &mut Input<'a>) -> ParseResult<(usize, &'a str)> {
    skip_blank(input)?;
    let at = input.current_token_start();
    let word = take_while(0.., |c: char| !c.is_whitespace() && !";,\"=!".contains(c)).parse_next(input)?;
    Ok((at, word))
}
