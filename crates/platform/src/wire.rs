//! JSON messages of the key-value service. Values are encoded as base64.

use bytes::Bytes;
use policy::id::Revision;
use serde::{Deserialize, Serialize};

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Pair {
    /// Name of the key.
    pub key: String,
    /// The value, or `null` for a key that was removed.
    #[serde(with = "base64_value")]
    pub value: Option<Bytes>,
    /// Revision of the last change of this key.
    pub revision: Revision,
}

/// Response to a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Pairs {
    /// Pairs in key order.
    pub pairs: Vec<Pair>,
}

/// Body of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PutBody {
    /// The new value.
    #[serde(with = "base64_value")]
    pub value: Option<Bytes>,
    /// Revision that the key must have, zero for an absent key. Without it the write always
    /// applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub if_revision: Option<Revision>,
    /// Lease that removes the key when it lapses.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// Response to a write: the new revision, or the current one with status 409.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PutResponse {
    /// Revision of the key.
    pub revision: Revision,
}

/// Body of a request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseBody {
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
}

/// Response to a grant or renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Id of the lease.
    pub id: u64,
    /// Time to live in milliseconds from now.
    pub ttl_ms: u64,
}

mod base64_value {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use bytes::Bytes;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    #[expect(clippy::ref_option, reason = "serde passes the field by reference")]
    pub(super) fn serialize<S: Serializer>(
        value: &Option<Bytes>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        value
            .as_ref()
            .map(|bytes| STANDARD.encode(bytes))
            .serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Bytes>, D::Error> {
        let text = Option::<String>::deserialize(deserializer)?;
        text.map(|text| {
            STANDARD
                .decode(text)
                .map(Bytes::from)
                .map_err(Error::custom)
        })
        .transpose()
    }
}
