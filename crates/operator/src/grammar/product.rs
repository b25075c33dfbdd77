//! Parsers for statements about products.

use std::collections::BTreeSet;

use sequoiastream_core::config::AlterProduct;
use sequoiastream_core::config::Command;
use sequoiastream_core::config::KeyHash;
use sequoiastream_core::config::Product;
use sequoiastream_core::config::Share;
use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::cut_err;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::error::ErrMode;
use winnow::stream::Location;

use crate::error::Expected;
use crate::grammar::name;
use crate::token::Input;
use crate::token::ParseResult;
use crate::token::expected;
use crate::token::key;
use crate::token::number;
use crate::token::quoted;
use crate::token::skip_blank;
use crate::token::value;

/// Deadline of a product that sets none, in milliseconds.
const DEFAULT_DEADLINE_MS: u32 = 30_000;

/// Longest permitted deadline, in milliseconds: one day.
const MAX_DEADLINE_MS: u32 = 86_400_000;

/// One setting of a product.
#[derive(Debug, Clone)]
enum Setting {
    Key(KeyHash),
    Share(Share),
    Deadline(u32),
    Weight(u32),
}

pub fn create(input: &mut Input<'_>) -> ParseResult<Command> {
    let name = preceded(key!("product"), cut_err(name)).parse_next(input)?;
    let alter = cut_err(settings).parse_next(input)?;
    let Some(share) = alter.share else {
        return cut_error(input, "`share` and a percentage");
    };
    let product = Product {
        keys: BTreeSet::from_iter(alter.key),
        share,
        deadline: alter.deadline.unwrap_or(DEFAULT_DEADLINE_MS),
        weight: alter.weight.unwrap_or(0),
    };
    Ok(Command::CreateProduct { name, product })
}

pub fn alter(input: &mut Input<'_>) -> ParseResult<Command> {
    let name = preceded(key!("product"), cut_err(name)).parse_next(input)?;
    let alter = cut_err(settings).parse_next(input)?;
    match alter == AlterProduct::default() {
        true => cut_error(input, "`key`, `share`, `deadline` or `weight`"),
        false => Ok(Command::AlterProduct { name, alter }),
    }
}

pub fn drop(input: &mut Input<'_>) -> ParseResult<Command> {
    preceded(key!("product"), cut_err(name))
        .map(|name| Command::DropProduct { name })
        .parse_next(input)
}

/// Parses settings in any order, each at most once.
fn settings(input: &mut Input<'_>) -> ParseResult<AlterProduct> {
    let located: Vec<(usize, Setting)> = repeat(0.., located_setting).parse_next(input)?;
    let mut alter = AlterProduct::default();
    for (at, setting) in located {
        let repeated = match setting {
            Setting::Key(key) => alter.key.replace(key).is_some(),
            Setting::Share(share) => alter.share.replace(share).is_some(),
            Setting::Deadline(deadline) => alter.deadline.replace(deadline).is_some(),
            Setting::Weight(weight) => alter.weight.replace(weight).is_some(),
        };
        if repeated {
            return Err(ErrMode::Cut(Expected::new(at, "each setting at most once")));
        }
    }
    Ok(alter)
}

fn located_setting(input: &mut Input<'_>) -> ParseResult<(usize, Setting)> {
    skip_blank(input)?;
    let at = input.current_token_start();
    let setting = setting(input)?;
    Ok((at, setting))
}

fn setting(input: &mut Input<'_>) -> ParseResult<Setting> {
    let key = quoted("an API key in double quotes").map(|secret| KeyHash::of(&secret));
    let share = value("a share in percent, 0 to 100");
    let deadline = number(1..=MAX_DEADLINE_MS, "a deadline in milliseconds, 1 to 86400000");
    let weight = number(0..=100, "a weight, 0 to 100");
    alt((
        preceded(key!("key"), cut_err(key)).map(Setting::Key),
        preceded(key!("share"), cut_err(share)).map(Setting::Share),
        preceded(key!("deadline"), cut_err(deadline)).map(Setting::Deadline),
        preceded(key!("weight"), cut_err(weight)).map(Setting::Weight),
    ))
    .parse_next(input)
}

fn cut_error<T>(input: &mut Input<'_>, item: &'static str) -> ParseResult<T> {
    skip_blank(input)?;
    let at = input.current_token_start();
    expected(at, item).map_err(ErrMode::cut)
}
