//! The relay of each backend server, by rendezvous hashing.

use crate::job::ServerId;
use crate::name::NodeId;

/// Returns the relay that owns a backend server; `None` without relays.
///
/// When a relay joins or leaves, only the backend servers that it gains or loses move, so that the
/// other connections are kept.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::relay::owner;
///
/// let (a, b) = ("a".parse()?, "b".parse()?);
/// assert_eq!(owner(&"i-1".into(), [&a]), Some(&a));
/// assert_eq!(owner(&"i-1".into(), [&a, &b]), owner(&"i-1".into(), [&b, &a]));
/// # Ok::<(), goldcrestring::name::NameError>(())
/// ```
pub fn owner<'a>(
    server: &ServerId,
    relays: impl IntoIterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    relays.into_iter().max_by_key(|relay| (weight(server, relay), *relay))
}

/// FNV-1a over both names, mixed so that similar names get unrelated weights.
fn weight(server: &ServerId, relay: &NodeId) -> u64 {
    let bytes = server.as_str().bytes().chain([0]).chain(relay.as_str().bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
