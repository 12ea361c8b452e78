//! Fingerprints, by which requests are recognised that differ only in their id.

use apricotknot_core::fleet::RequestFingerprint;
use sha2::Digest;
use sha2::Sha256;

/// Returns the fingerprint of a request, which is the same on all nodes.
pub(super) fn fingerprint_of(target: &str, account: &str, body: &[u8]) -> RequestFingerprint {
    let mut digest = Sha256::new();
    for part in [target.as_bytes(), account.as_bytes(), body] {
        digest.update(u64::try_from(part.len()).unwrap_or(u64::MAX).to_be_bytes());
        digest.update(part);
    }
    let digest = digest.finalize();
    let mut bytes = [0; size_of::<RequestFingerprint>()];
    bytes.copy_from_slice(&digest[..size_of::<RequestFingerprint>()]);
    RequestFingerprint::from_be_bytes(bytes)
}
