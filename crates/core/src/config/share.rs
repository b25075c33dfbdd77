//! Shares of engine time that products are entitled to.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Parts per million in one percent.
const PPM_PER_PERCENT: u32 = 10_000;

/// Maximum number of decimals of a share written in percent.
const DECIMALS: usize = 4;

/// A share of engine time, in parts per million.
///
/// Whole percentages are too coarse for 1,500 products, so a share is written in percent with up to four decimals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Share(u32);

/// The text is not a share: a percentage from 0 to 100 with at most four decimals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a share is a percentage from 0 to 100 with at most {DECIMALS} decimals")]
pub struct ShareError;

impl Share {
    /// All engine time (100%).
    pub const WHOLE: Share = Share(100 * PPM_PER_PERCENT);

    /// Creates a share of `percent` percent.
    pub const fn percent(percent: u32) -> Share {
        Share(percent * PPM_PER_PERCENT)
    }

    /// The share as a fraction; 1.0 is all engine time.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Share::WHOLE.0)
    }

    /// The share in parts per million.
    pub fn millionths(self) -> u32 {
        self.0
    }

    /// Adds the shares, saturating at the largest representable value.
    pub fn saturating_add(self, other: Share) -> Share {
        Share(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, part) = (self.0 / PPM_PER_PERCENT, self.0 % PPM_PER_PERCENT);
        match part {
            0 => write!(f, "{whole}%"),
            part => {
                let decimals = format!("{part:0DECIMALS$}");
                write!(f, "{whole}.{}%", decimals.trim_end_matches('0'))
            }
        }
    }
}

impl FromStr for Share {
    type Err = ShareError;

    fn from_str(text: &str) -> Result<Share, ShareError> {
        let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
        let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        if !digits(whole) || !digits(part) || part.len() > DECIMALS {
            return Err(ShareError);
        }
        let whole: u32 = whole.parse().map_err(|_| ShareError)?;
        let part: u32 = format!("{part:0<DECIMALS$}").parse().map_err(|_| ShareError)?;
        let share = whole
            .checked_mul(PPM_PER_PERCENT)
            .and_then(|w| w.checked_add(part));
        let share = Share(share.ok_or(ShareError)?);
        match share <= Share::WHOLE {
            true => Ok(share),
            false => Err(ShareError),
        }
    }
}
