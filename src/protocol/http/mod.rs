//! Subset of HTTP/1.1 for the discovery service: requests for the endpoint list, responses, and the list in
//! JSON.

mod endpoint_list;
mod request;
mod response;

pub use endpoint_list::{decode_endpoint_list, parse_endpoint_list, EndpointListUpdate};
pub use request::{encode_request, ChangesQuery};
pub use response::{parse_response, HttpError, Response, MAX_HEAD_LENGTH, MAX_RESPONSE_LENGTH};
