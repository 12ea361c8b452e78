//! Arrivals of requests, generated from a seed.

use std::time::Duration;

use apricotknot_core::types::TokenCount;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::SiteProfile;

/// Distance between the first request numbers of two seeds, so that no prompt is sent twice.
const SEED_STRIDE: u64 = 1_000_000;

/// Minimum number of tokens of a prompt.
const MIN_PROMPT_TOKENS: f64 = 1_000.0;

/// Maximum number of tokens of a short prompt.
const MAX_SHORT_TOKENS: f64 = 8_000.0;

/// Maximum number of tokens of a prompt that is not an archive.
const MAX_LONG_TOKENS: f64 = 100_000.0;

/// Maximum number of tokens of a prompt.
const MAX_PROMPT_TOKENS: f64 = 1_000_000.0;

/// Fraction of the prompts that are archives.
const ARCHIVE_FRACTION: f64 = 0.02;

/// Fraction of the prompts that are long but not archives.
const LONG_FRACTION: f64 = 0.18;

/// Minimum and maximum number of tokens of an answer.
const ANSWER_TOKENS: (TokenCount, TokenCount) = (32, 256);

/// Describes one request to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptArrival {
    /// Number of the request; each seed starts at a different number.
    pub number: u64,
    /// Time from the start of the run to the arrival.
    pub since_start: Duration,
    /// Account, as an index into the site's `account_shares`.
    pub account: usize,
    /// Number of tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Number of tokens of the answer.
    pub answer_tokens: TokenCount,
}

impl PromptArrival {
    /// Returns the prompt; prompts of one account have the same first block of the prefix cache.
    pub fn prompt(&self) -> String {
        let bytes = usize::try_from(self.prompt_tokens * 4).unwrap_or(usize::MAX);
        let mut prompt = format!("account {:>1016}", self.account);
        prompt.push_str(&format!("request {:>20} ", self.number));
        prompt.push_str(&"collar plaque ".repeat(bytes / 14 + 1));
        prompt.truncate(bytes);
        prompt
    }
}

/// Yields an endless sequence of Poisson arrivals, which is the same for the same seed.
#[derive(Debug)]
pub struct ArrivalStream {
    random: StdRng,
    rate: f64,
    site: SiteProfile,
    number: u64,
    since_start: Duration,
}

impl ArrivalStream {
    /// Creates the arrivals of `site` at `rate` requests a second on average.
    pub fn new(site: SiteProfile, rate: f64, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        let number = seed.wrapping_mul(SEED_STRIDE);
        Self { random, rate, site, number, since_start: Duration::ZERO }
    }

    fn uniform(&mut self) -> f64 {
        self.random.random::<f64>()
    }

    fn log_uniform(&mut self, low: f64, high: f64) -> TokenCount {
        (low * (high / low).powf(self.uniform())) as TokenCount
    }

    fn prompt_tokens(&mut self) -> TokenCount {
        let fraction = self.uniform();
        if fraction < ARCHIVE_FRACTION {
            return self.log_uniform(MAX_LONG_TOKENS + 1.0, MAX_PROMPT_TOKENS);
        }
        if fraction < ARCHIVE_FRACTION + LONG_FRACTION {
            return self.log_uniform(MAX_SHORT_TOKENS + 1.0, MAX_LONG_TOKENS);
        }
        self.log_uniform(MIN_PROMPT_TOKENS, MAX_SHORT_TOKENS)
    }

    fn account(&mut self) -> usize {
        let total: u32 = self.site.account_shares.iter().sum();
        let mut point = self.random.random_range(0..total);
        for (index, share) in self.site.account_shares.iter().enumerate() {
            if point < *share {
                return index;
            }
            point -= share;
        }
        0
    }
}

impl Iterator for ArrivalStream {
    type Item = PromptArrival;

    fn next(&mut self) -> Option<PromptArrival> {
        let interval = -(1.0 - self.uniform()).ln() / self.rate;
        self.since_start += Duration::from_secs_f64(interval);
        let arrival = PromptArrival {
            number: self.number,
            since_start: self.since_start,
            account: self.account(),
            prompt_tokens: self.prompt_tokens(),
            answer_tokens: self.random.random_range(ANSWER_TOKENS.0..=ANSWER_TOKENS.1),
        };
        self.number += 1;
        Some(arrival)
    }
}
