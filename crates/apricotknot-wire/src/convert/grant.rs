//! Conversion of requests for grants.

use std::time::Duration;

use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::RequestProfile;

use super::ConvertError;
use super::limits::MAX_EXCLUDED_ENDPOINTS;
use super::limits::MAX_PREFIX_BLOCKS;
use super::scalar::check_length;
use super::scalar::read_name;
use super::scalar::read_names;
use super::scalar::read_wide_id;
use super::scalar::saturating_millis;
use super::scalar::write_wide_id;
use crate::generated::peer_capnp::grant_request;
use crate::message::GrantRequest;

/// Reads a request for a grant that was received from `node` at `now`.
///
/// The deadline becomes `now` plus the remaining time in the message, on the clock of this node.
///
/// # Errors
///
/// Returns an error if the message does not follow the schema, or if a list or name is longer than
/// its limit.
pub fn read_grant_request(
    reader: grant_request::Reader<'_>,
    node: NodeId,
    now: MonotonicTime,
) -> Result<GrantRequest, ConvertError> {
    let blocks = reader.get_prefix_blocks()?;
    check_length("prefixBlocks", blocks.len() as usize, MAX_PREFIX_BLOCKS)?;
    let remaining = Duration::from_millis(reader.get_remaining_ms());
    let profile = RequestProfile {
        id: read_wide_id(reader.get_request()?),
        account: read_name("account", reader.get_account()?)?,
        service: read_name("service", reader.get_service()?)?,
        prompt_tokens: reader.get_prompt_tokens(),
        max_output_tokens: reader.get_max_output_tokens(),
        fingerprint: reader.get_fingerprint(),
        prefix_blocks: blocks.iter().collect(),
        deadline: now.saturating_add(remaining),
    };
    let submission = RequestSubmission {
        profile,
        attempt: read_wide_id(reader.get_attempt()?),
        node,
        excluded: read_names("excluded", reader.get_excluded()?, MAX_EXCLUDED_ENDPOINTS)?,
    };
    Ok(GrantRequest { pool: read_name("pool", reader.get_pool()?)?, submission })
}

/// Writes a request for a grant that is sent at `now`; the deadline is written as remaining time.
pub fn write_grant_request(
    request: &GrantRequest,
    now: MonotonicTime,
    mut builder: grant_request::Builder<'_>,
) {
    let submission = &request.submission;
    let profile = &submission.profile;
    write_wide_id(profile.id, builder.reborrow().init_request());
    write_wide_id(submission.attempt, builder.reborrow().init_attempt());
    builder.set_pool(&*request.pool);
    builder.set_account(&*profile.account);
    builder.set_service(&*profile.service);
    builder.set_prompt_tokens(profile.prompt_tokens);
    builder.set_max_output_tokens(profile.max_output_tokens);
    builder.set_fingerprint(profile.fingerprint);
    builder.set_remaining_ms(saturating_millis(request.remaining(now)));
    let mut blocks = builder.reborrow().init_prefix_blocks(profile.prefix_blocks.len() as u32);
    for (index, block) in (0u32..).zip(&profile.prefix_blocks) {
        blocks.set(index, *block);
    }
    let mut excluded = builder.init_excluded(submission.excluded.len() as u32);
    for (index, endpoint) in (0u32..).zip(&submission.excluded) {
        excluded.set(index, &**endpoint);
    }
}
