/// \file
/// Conversion of the gateway's requests and results from and to JSON. All
/// functions are thread-safe.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "standins/store/key_value_state.h"

namespace cranberrywing::standins {

/// Parses a range request, or the key range of a watch. Errors: Malformed.
Result<Operation> ParseRange(const boost::json::object& aBody);
/// Parses a transaction request. Errors: Malformed.
Result<Transaction> ParseTransaction(const boost::json::object& aBody);

/// Encodes an entry; a deleted one (version 0) has only key and mod_revision.
boost::json::object EncodeEntry(const KeyValue& aEntry);
/// Encodes the result of one operation without the answer's header.
boost::json::object EncodeResult(const OperationResult& aResult);
/// Encodes a result as one element of a transaction's `responses` array.
boost::json::object EncodeResponse(const OperationResult& aResult);

} // namespace cranberrywing::standins
